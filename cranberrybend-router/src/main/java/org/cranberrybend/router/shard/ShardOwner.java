package org.cranberrybend.router.shard;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.admission.AdmissionDecision;
import org.cranberrybend.core.admission.DispatchQueue;
import org.cranberrybend.core.admission.DispatchSettings;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.admission.SlotInUse;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.routing.PoolShard;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.shard.OwnedShard.Delivery;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.PoolDemand;
import org.cranberrybend.wire.generated.SlotRelease;
import org.cranberrybend.wire.generated.SlotRequest;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.transport.PeerMessenger;

/**
 * Queues requests and grants slots for the shards that this router owns.
 *
 * <p>Edge cases:
 *
 * <ul>
 *   <li>A new owner queries all routers for their slots in use before it grants any, so that no upstream is
 *       overcommitted; requests wait in the queue meanwhile.
 *   <li>When a shard moves to another owner, its waiting requests are replied to with {@code moved}, so that entry
 *       routers request a slot from the new owner with the original arrival time.
 *   <li>Slots of an entry router that died or restarted are released,
 *       because its connections to upstreams ended with it.
 * </ul>
 *
 * <p>One lock guards all owned shards. Replies are sent after it is released.
 */
final class ShardOwner implements Service {
    private static final long QUERY_TIMEOUT_MS = 500;
    // Resolution of request deadlines and of the slow start of upstreams.
    private static final long TICK_INTERVAL_MS = 25;
    private static final String ROUTER_ROLE = "router";

    private final MemberDirectory members;
    private final PeerMessenger messenger;
    private final ShardMapHolder shardMaps;
    private final SlotReplyHandler localReplyHandler;
    private final EntrySlots localSlots;
    private final DispatchSettings dispatchSettings;
    private final EventLog events;
    private final TimeSource timeSource;
    private final Object lock = new Object();
    private final Map<String, OwnedShard> owned = new HashMap<>();
    /** Demand counters by service; all owned shards belong to this router's zone. */
    private final Map<String, PoolCounters> counters = new HashMap<>();
    /** Upstreams that receive no new requests because the zone's order controller is about to stop them. */
    private Set<String> draining = Set.of();

    private final ScheduledExecutorService ticker =
            Executors.newSingleThreadScheduledExecutor(new ThreadFactoryBuilder()
                    .setNameFormat("shard-owner")
                    .setDaemon(true)
                    .build());

    ShardOwner(
            MemberDirectory members,
            PeerMessenger messenger,
            ShardMapHolder shardMaps,
            EntrySlots localSlots,
            DispatchSettings dispatchSettings,
            EventLog events,
            TimeSource timeSource) {
        this.members = members;
        this.messenger = messenger;
        this.shardMaps = shardMaps;
        this.localReplyHandler = localSlots;
        this.localSlots = localSlots;
        this.dispatchSettings = dispatchSettings;
        this.events = events;
        this.timeSource = timeSource;
        messenger.register(Envelope.BodyCase.SLOT_REQUEST, this::onRequest);
        messenger.register(Envelope.BodyCase.SLOT_RELEASE, this::onRelease);
        messenger.register(Envelope.BodyCase.SLOT_CANCEL, this::onCancel);
        shardMaps.addListener(this::updateOwnedShards);
    }

    @Override
    public void start() {
        updateOwnedShards();
        ticker.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        ticker.shutdownNow();
    }

    /**
     * Offers a request to an owned shard; the reply is sent to the entry router.
     *
     * @param offeredBefore whether another shard of the pool has refused the request and counted it as demand
     */
    void offer(String shardId, QueuedRequest request, Requester requester, boolean offeredBefore) {
        Optional<List<Delivery>> deliveries =
                withShard(shardId, shard -> shard.offer(request, requester, offeredBefore, timeSource.monotonicMs()));
        deliveries.ifPresentOrElse(this::deliver, () -> sendMoved(requester, request.requestId()));
    }

    /** Cancels a waiting request. */
    void cancel(String requestId) {
        deliver(withAllShards(shard -> shard.cancel(requestId)));
    }

    /** Releases a slot; has no effect if it belongs to no owned shard. */
    void release(String requestId, String slotId, SlotOutcome outcome) {
        deliver(withAllShards(shard -> shard.release(requestId, slotId, outcome, timeSource.monotonicMs())));
    }

    /** Returns the number of waiting requests over all owned shards. */
    int waitingCount() {
        synchronized (lock) {
            return owned.values().stream()
                    .mapToInt(shard -> shard.queue().waitingCount())
                    .sum();
        }
    }

    /** Returns the number of slots in use over all owned shards. */
    int slotsInUse() {
        synchronized (lock) {
            return owned.values().stream()
                    .mapToInt(shard -> shard.queue().slotsInUse())
                    .sum();
        }
    }

    /** Replaces the set of draining upstreams: stops new requests to the given ones and allows them to all others. */
    void drain(Set<String> upstreamIds) {
        long nowMs = timeSource.monotonicMs();
        List<Delivery> deliveries = new ArrayList<>();
        synchronized (lock) {
            draining = Set.copyOf(upstreamIds);
            owned.values().forEach(shard -> deliveries.addAll(shard.drain(draining, nowMs)));
        }
        deliver(deliveries);
    }

    /** Returns those of the given upstreams with a slot in use that this router granted or uses as entry router. */
    Set<String> upstreamsInUse(Set<String> upstreamIds) {
        Set<String> busy = new TreeSet<>();
        synchronized (lock) {
            for (OwnedShard shard : owned.values()) {
                upstreamIds.stream()
                        .filter(each -> shard.queue().slotsInUse(each) > 0)
                        .forEach(busy::add);
            }
        }
        localSlots.slotsInUseOn(upstreamIds).forEach(slot -> busy.add(slot.upstreamId()));
        return busy;
    }

    /** Returns the demand for each engine pool of which this router owns shards. */
    List<PoolDemand> demand() {
        synchronized (lock) {
            return DemandMessages.poolDemands(owned.values(), counters);
        }
    }

    /** Returns the identifiers of the owned shards. */
    Set<String> ownedShardIds() {
        synchronized (lock) {
            return new HashSet<>(owned.keySet());
        }
    }

    private interface ShardAction {
        List<Delivery> apply(OwnedShard shard);
    }

    private Optional<List<Delivery>> withShard(String shardId, ShardAction action) {
        synchronized (lock) {
            return Optional.ofNullable(owned.get(shardId)).map(action::apply);
        }
    }

    private List<Delivery> withAllShards(ShardAction action) {
        List<Delivery> deliveries = new ArrayList<>();
        synchronized (lock) {
            owned.values().forEach(shard -> deliveries.addAll(action.apply(shard)));
        }
        return deliveries;
    }

    private void tick() {
        long nowMs = timeSource.monotonicMs();
        deliver(withAllShards(shard ->
                shard.queue().waitingCount() + shard.queue().slotsInUse() == 0 ? List.of() : shard.dispatch(nowMs)));
    }

    /** Adapts the owned shards to the current shard map and releases the slots of entry routers that are not live. */
    private void updateOwnedShards() {
        Map<String, PoolShard> wanted = new HashMap<>();
        shardMaps.current().ownedBy(members.self().id()).forEach(shard -> wanted.put(shard.id(), shard));
        Set<Requester> live = liveRequesters();
        Map<String, Requester> moved = new HashMap<>();
        Map<String, List<String>> toRestore = new HashMap<>();
        List<Delivery> deliveries = new ArrayList<>();
        List<String> gained = new ArrayList<>();
        List<String> lost = new ArrayList<>();
        long nowMs = timeSource.monotonicMs();
        synchronized (lock) {
            for (String shardId : List.copyOf(owned.keySet())) {
                if (!wanted.containsKey(shardId)) {
                    moved.putAll(owned.remove(shardId).handOver());
                    lost.add(shardId);
                }
            }
            wanted.forEach((shardId, poolShard) -> {
                OwnedShard shard = owned.get(shardId);
                if (shard == null) {
                    shard = newShard(poolShard);
                    owned.put(shardId, shard);
                    gained.add(shardId);
                }
                List<String> unknown = shard.update(poolShard);
                if (unknown.isEmpty()) {
                    deliveries.addAll(shard.applyUpstreams(nowMs));
                } else {
                    toRestore.put(shardId, unknown);
                }
                deliveries.addAll(shard.removeRequesters(requester -> !live.contains(requester), nowMs));
            });
        }
        lost.forEach(shardId -> events.record(EventCode.SHARD_LOST, shardId, Map.of()));
        gained.forEach(shardId -> events.record(EventCode.SHARD_OWNED, shardId, Map.of()));
        moved.forEach((requestId, requester) -> sendMoved(requester, requestId));
        deliver(deliveries);
        toRestore.forEach(this::restore);
    }

    private OwnedShard newShard(PoolShard poolShard) {
        PoolCounters pool = counters.computeIfAbsent(poolShard.pool().service(), service -> new PoolCounters());
        OwnedShard shard = new OwnedShard(poolShard, newQueue(poolShard.id()), pool);
        shard.drain(draining, timeSource.monotonicMs());
        return shard;
    }

    private DispatchQueue newQueue(String shardId) {
        String prefix = members.self().id() + "@" + members.self().identity().incarnation() + "/" + shardId + "#";
        return new DispatchQueue(dispatchSettings, members.self().id(), prefix);
    }

    private Set<Requester> liveRequesters() {
        Set<Requester> live = new HashSet<>();
        members.members().forEach(member -> live.add(requester(member)));
        live.add(requester(members.self()));
        return live;
    }

    private static Requester requester(Member member) {
        return new Requester(member.id(), member.identity().incarnation());
    }

    /**
     * Queries all routers for slots in use on the upstreams, then enables these; routers that do not reply are skipped.
     */
    private void restore(String shardId, List<String> upstreamIds) {
        Map<Requester, Collection<SlotInUse>> reports = new ConcurrentHashMap<>();
        reports.put(requester(members.self()), localSlots.slotsInUseOn(upstreamIds));
        List<CompletableFuture<?>> replies = new ArrayList<>();
        for (Member member : members.members()) {
            if (member.identity().role().equals(ROUTER_ROLE)
                    && !member.id().equals(members.self().id())) {
                replies.add(messenger
                        .request(member.peerAddress(), SlotMessages.slotsInUseQuery(upstreamIds), QUERY_TIMEOUT_MS)
                        .thenAccept(reply -> reports.put(
                                new Requester(reply.getSender(), reply.getIncarnation()),
                                SlotMessages.slotsInUse(reply.getSlotsInUse())))
                        .exceptionally(unreachable -> null));
            }
        }
        CompletableFuture.allOf(replies.toArray(new CompletableFuture<?>[0]))
                .thenRun(() -> withShard(shardId, shard -> restoreAndEnable(shard, reports, upstreamIds))
                        .ifPresent(this::deliver));
    }

    private List<Delivery> restoreAndEnable(
            OwnedShard shard, Map<Requester, Collection<SlotInUse>> reports, List<String> upstreamIds) {
        long nowMs = timeSource.monotonicMs();
        reports.forEach((requester, slots) -> shard.restore(requester, slots, nowMs));
        return shard.enableUpstreams(upstreamIds, nowMs);
    }

    private Optional<Envelope.Builder> onRequest(Envelope message) {
        SlotRequest request = message.getSlotRequest();
        offer(
                request.getShardId(),
                SlotMessages.queuedRequest(request, timeSource.monotonicMs()),
                new Requester(message.getSender(), message.getIncarnation()),
                request.getOfferedBefore());
        return Optional.empty();
    }

    private Optional<Envelope.Builder> onRelease(Envelope message) {
        SlotRelease release = message.getSlotRelease();
        release(release.getRequestId(), release.getSlotId(), SlotMessages.outcome(release));
        return Optional.empty();
    }

    private Optional<Envelope.Builder> onCancel(Envelope message) {
        cancel(message.getSlotCancel().getRequestId());
        return Optional.empty();
    }

    private void deliver(List<Delivery> deliveries) {
        for (Delivery delivery : deliveries) {
            AdmissionDecision decision = delivery.decision();
            if (decision instanceof AdmissionDecision.Granted) {
                sendGrant(delivery.requester(), (AdmissionDecision.Granted) decision);
            } else if (decision instanceof AdmissionDecision.Refused) {
                AdmissionDecision.Refused refused = (AdmissionDecision.Refused) decision;
                sendRefusal(delivery.requester(), refused.requestId(), refused.code(), refused.retryAfterMs());
            }
            // Expired and canceled requests need no reply: their entry router has already ended them.
        }
    }

    private void sendGrant(Requester requester, AdmissionDecision.Granted granted) {
        if (isSelf(requester)) {
            localReplyHandler.granted(granted.grant());
        } else {
            send(requester, SlotMessages.granted(granted.grant()));
        }
    }

    private void sendRefusal(Requester requester, String requestId, ErrorCode code, long retryAfterMs) {
        if (isSelf(requester)) {
            localReplyHandler.refused(requestId, code, retryAfterMs);
        } else {
            send(requester, SlotMessages.refused(requestId, code, retryAfterMs));
        }
    }

    private void sendMoved(Requester requester, String requestId) {
        if (requester == null) {
            return;
        }
        if (isSelf(requester)) {
            localReplyHandler.moved(requestId);
        } else {
            send(requester, SlotMessages.moved(requestId));
        }
    }

    private void send(Requester requester, Envelope.Builder message) {
        members.member(requester.memberId()).ifPresent(member -> messenger.send(member.peerAddress(), message));
    }

    private boolean isSelf(Requester requester) {
        return requester.memberId().equals(members.self().id());
    }
}
