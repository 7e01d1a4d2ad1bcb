package org.cranberrybend.router.shard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.cranberrybend.core.admission.AdmissionDecision;
import org.cranberrybend.core.admission.DispatchQueue;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.admission.SlotInUse;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.routing.PoolShard;
import org.cranberrybend.core.routing.Upstream;

/**
 * A shard owned by this router: its queue, and which entry router each request belongs to.
 *
 * <p>Not safe for use by several threads; {@link ShardOwner} holds its lock around each call.
 */
final class OwnedShard {
    private static final SlotOutcome LOST_REQUESTER = new SlotOutcome(SlotResult.CANCELLED, 0, 0, -1, 0);

    private final DispatchQueue queue;
    /** Entry router of each waiting request and of each request with a slot. */
    private final Map<String, Requester> requesters = new HashMap<>();
    /** Slot of each request that has one. */
    private final Map<String, String> slotIds = new HashMap<>();
    /** Upstreams whose slots in use have been asked for; only these receive requests. */
    private final Set<String> restoredUpstreams = new HashSet<>();

    /** Requests that wait; the queue does not show its tokens per tier. */
    private final Map<String, QueuedRequest> waiting = new HashMap<>();
    /** Expected tokens of each request with a slot that was granted here. */
    private final Map<String, Long> runningTokens = new HashMap<>();

    private final PoolCounters counters;
    /** Upstreams that are to receive no new requests until they are taken back. */
    private Set<String> draining = Set.of();

    private PoolShard shard;

    /** A decision and the entry router that must hear of it. */
    record Delivery(Requester requester, AdmissionDecision decision) {}

    OwnedShard(PoolShard shard, DispatchQueue queue, PoolCounters counters) {
        this.shard = shard;
        this.queue = queue;
        this.counters = counters;
    }

    PoolShard shard() {
        return shard;
    }

    DispatchQueue queue() {
        return queue;
    }

    /** Offers a request; {@code offeredBefore} says that another shard of the pool has counted it as demand. */
    List<Delivery> offer(QueuedRequest request, Requester requester, boolean offeredBefore, long nowMs) {
        String requestId = request.requestId();
        requesters.put(requestId, requester);
        if (!waiting.containsKey(requestId) && !slotIds.containsKey(requestId)) {
            // A request that excludes an upstream was counted when it was offered for the first time.
            if (!offeredBefore && request.excludedUpstreams().isEmpty()) {
                counters.offered(request.requestClass().tier(), request.expectedTokens());
            }
            waiting.put(requestId, request);
        }
        return deliveries(queue.offer(request, nowMs));
    }

    List<Delivery> cancel(String requestId) {
        List<Delivery> deliveries = deliveries(queue.cancel(requestId));
        waiting.remove(requestId);
        String slotId = slotIds.get(requestId);
        // The grant may be on its way; the entry router releases the slot when it arrives.
        if (slotId == null) {
            requesters.remove(requestId);
        }
        return deliveries;
    }

    List<Delivery> release(String requestId, String slotId, SlotOutcome outcome, long nowMs) {
        if (slotId.equals(slotIds.get(requestId))) {
            slotIds.remove(requestId);
            requesters.remove(requestId);
            countServed(runningTokens.remove(requestId), outcome);
        }
        return deliveries(queue.release(slotId, outcome, nowMs));
    }

    private void countServed(Long expectedTokens, SlotOutcome outcome) {
        long tokens = outcome.promptTokens() + outcome.outputTokens();
        if (outcome.result() == SlotResult.COMPLETED) {
            // The request of a restored slot is not known; it must not change the ratio of served to expected tokens.
            counters.served(tokens, expectedTokens == null ? tokens : expectedTokens, outcome.totalMs());
        }
    }

    /** Returns the requests that wait for a slot of this shard. */
    Collection<QueuedRequest> waiting() {
        return Collections.unmodifiableCollection(waiting.values());
    }

    /** Changes the upstreams that receive no new requests although they are not leaving. */
    List<Delivery> drain(Set<String> upstreamIds, long nowMs) {
        if (draining.equals(upstreamIds)) {
            return List.of();
        }
        draining = upstreamIds;
        return applyUpstreams(nowMs);
    }

    List<Delivery> dispatch(long nowMs) {
        return deliveries(queue.dispatch(nowMs));
    }

    /** Takes over the shard's new list of upstreams and returns those whose slots in use are not known yet. */
    List<String> update(PoolShard newShard) {
        shard = newShard;
        Set<String> ids = new HashSet<>();
        newShard.upstreams().forEach(upstream -> ids.add(upstream.id()));
        restoredUpstreams.retainAll(ids);
        ids.removeAll(restoredUpstreams);
        return List.copyOf(ids);
    }

    /** Takes over slots that an entry router reported. */
    void restore(Requester requester, Collection<SlotInUse> slots, long nowMs) {
        queue.restoreSlotsInUse(slots, nowMs);
        for (SlotInUse slot : slots) {
            requesters.putIfAbsent(slot.requestId(), requester);
            slotIds.putIfAbsent(slot.requestId(), slot.slotId());
        }
    }

    /** Opens upstreams, whose slots in use are now known, for requests. */
    List<Delivery> open(Collection<String> upstreamIds, long nowMs) {
        restoredUpstreams.addAll(upstreamIds);
        return applyUpstreams(nowMs);
    }

    /** Passes the present list of upstreams to the queue; not before the first of them was opened. */
    List<Delivery> applyUpstreams(long nowMs) {
        if (restoredUpstreams.isEmpty() && !shard.upstreams().isEmpty()) {
            return List.of();
        }
        List<Upstream> known = shard.upstreams().stream()
                .filter(upstream -> restoredUpstreams.contains(upstream.id()))
                .filter(upstream -> !draining.contains(upstream.id()))
                .toList();
        return deliveries(queue.setUpstreams(known, nowMs));
    }

    /** Frees what entry routers held that are gone. */
    List<Delivery> dropRequesters(Predicate<Requester> gone, long nowMs) {
        List<Delivery> deliveries = new ArrayList<>();
        for (Map.Entry<String, Requester> entry : List.copyOf(requesters.entrySet())) {
            if (gone.test(entry.getValue())) {
                String requestId = entry.getKey();
                queue.cancel(requestId);
                waiting.remove(requestId);
                runningTokens.remove(requestId);
                String slotId = slotIds.remove(requestId);
                requesters.remove(requestId);
                if (slotId != null) {
                    deliveries.addAll(deliveries(queue.release(slotId, LOST_REQUESTER, nowMs)));
                }
            }
        }
        return deliveries;
    }

    /** Ends the ownership and returns the waiting requests with their entry routers. */
    Map<String, Requester> handOver() {
        Map<String, Requester> handedOver = new HashMap<>();
        queue.removeAllWaiting()
                .forEach(request -> handedOver.put(request.requestId(), requesters.get(request.requestId())));
        waiting.clear();
        return handedOver;
    }

    private List<Delivery> deliveries(List<AdmissionDecision> decisions) {
        List<Delivery> deliveries = new ArrayList<>();
        for (AdmissionDecision decision : decisions) {
            QueuedRequest decided = waiting.remove(decision.requestId());
            Requester requester = requesters.get(decision.requestId());
            if (decision instanceof AdmissionDecision.Granted) {
                AdmissionDecision.Granted granted = (AdmissionDecision.Granted) decision;
                slotIds.put(decision.requestId(), granted.grant().slotId());
                if (decided != null) {
                    runningTokens.put(decision.requestId(), decided.expectedTokens());
                }
            } else {
                requesters.remove(decision.requestId());
            }
            if (requester != null) {
                deliveries.add(new Delivery(requester, decision));
            }
        }
        return deliveries;
    }
}
