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
 * A shard owned by this router: its dispatch queue and the entry router of each request.
 *
 * <p>Not thread-safe; {@link ShardOwner} calls it with its lock held.
 */
final class OwnedShard {
    private static final SlotOutcome REQUESTER_LOST = new SlotOutcome(SlotResult.CANCELLED, 0, 0, -1, 0);

    private final DispatchQueue queue;
    /** Entry router by request, for waiting requests and requests with a slot. */
    private final Map<String, Requester> requesters = new HashMap<>();
    /** Slot by request, for requests with a slot. */
    private final Map<String, String> slotIds = new HashMap<>();
    /** Upstreams whose slots in use were queried from the entry routers; only these receive requests. */
    private final Set<String> restoredUpstreams = new HashSet<>();

    /** Waiting requests, kept here because the queue does not expose the waiting tokens per tier. */
    private final Map<String, QueuedRequest> waiting = new HashMap<>();
    /** Expected tokens by request, for slots granted by this owner. */
    private final Map<String, Long> runningExpectedTokens = new HashMap<>();

    private final PoolCounters counters;
    /** Upstreams that receive no new requests until their drain is revoked. */
    private Set<String> draining = Set.of();

    private PoolShard shard;

    /** A decision and the entry router to notify of it. */
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

    /** Offers a request; {@code offeredBefore} means that another shard of the pool has counted it as demand. */
    List<Delivery> offer(QueuedRequest request, Requester requester, boolean offeredBefore, long nowMs) {
        String requestId = request.requestId();
        requesters.put(requestId, requester);
        if (!waiting.containsKey(requestId) && !slotIds.containsKey(requestId)) {
            // A request that excludes an upstream is a retry and was counted at its first offer.
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
        // The grant may still be in transit; the entry router releases the slot on arrival.
        if (slotId == null) {
            requesters.remove(requestId);
        }
        return deliveries;
    }

    List<Delivery> release(String requestId, String slotId, SlotOutcome outcome, long nowMs) {
        if (slotId.equals(slotIds.get(requestId))) {
            slotIds.remove(requestId);
            requesters.remove(requestId);
            countServed(runningExpectedTokens.remove(requestId), outcome);
        }
        return deliveries(queue.release(slotId, outcome, nowMs));
    }

    private void countServed(Long expectedTokens, SlotOutcome outcome) {
        long tokens = outcome.promptTokens() + outcome.outputTokens();
        if (outcome.result() == SlotResult.COMPLETED) {
            // The estimate of a restored slot is unknown;
            // the actual tokens keep the ratio of served to expected tokens.
            counters.served(tokens, expectedTokens == null ? tokens : expectedTokens, outcome.totalMs());
        }
    }

    /** Returns the requests that wait for a slot of this shard. */
    Collection<QueuedRequest> waiting() {
        return Collections.unmodifiableCollection(waiting.values());
    }

    /** Replaces the set of draining upstreams, which receive no new requests although they are not leaving. */
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

    /** Replaces the shard's list of upstreams and returns those whose slots in use are not known yet. */
    List<String> update(PoolShard newShard) {
        shard = newShard;
        Set<String> ids = new HashSet<>();
        newShard.upstreams().forEach(upstream -> ids.add(upstream.id()));
        restoredUpstreams.retainAll(ids);
        ids.removeAll(restoredUpstreams);
        return List.copyOf(ids);
    }

    /** Restores slots that an entry router reported as in use. */
    void restore(Requester requester, Collection<SlotInUse> slots, long nowMs) {
        queue.restoreSlotsInUse(slots, nowMs);
        for (SlotInUse slot : slots) {
            requesters.putIfAbsent(slot.requestId(), requester);
            slotIds.putIfAbsent(slot.requestId(), slot.slotId());
        }
    }

    /** Allows requests to upstreams whose slots in use are now known. */
    List<Delivery> enableUpstreams(Collection<String> upstreamIds, long nowMs) {
        restoredUpstreams.addAll(upstreamIds);
        return applyUpstreams(nowMs);
    }

    /** Passes the enabled upstreams to the queue, unless the shard has upstreams and none of them is enabled yet. */
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

    /** Cancels the waiting requests and releases the slots of entry routers that are dead or were restarted. */
    List<Delivery> removeRequesters(Predicate<Requester> isLost, long nowMs) {
        List<Delivery> deliveries = new ArrayList<>();
        for (Map.Entry<String, Requester> entry : List.copyOf(requesters.entrySet())) {
            if (isLost.test(entry.getValue())) {
                String requestId = entry.getKey();
                queue.cancel(requestId);
                waiting.remove(requestId);
                runningExpectedTokens.remove(requestId);
                String slotId = slotIds.remove(requestId);
                requesters.remove(requestId);
                if (slotId != null) {
                    deliveries.addAll(deliveries(queue.release(slotId, REQUESTER_LOST, nowMs)));
                }
            }
        }
        return deliveries;
    }

    /** Ends the ownership and returns the entry router by waiting request. */
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
                    runningExpectedTokens.put(decision.requestId(), decided.expectedTokens());
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
