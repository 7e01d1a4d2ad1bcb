package org.cranberrybend.router.shard;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.cranberrybend.core.admission.DispatchSettings;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.routing.PoolKey;
import org.cranberrybend.core.routing.PoolOwnership;
import org.cranberrybend.core.routing.PoolShard;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.dispatch.SlotBroker;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.node.UpstreamSource;
import org.cranberrybend.wire.transport.PeerMessenger;

/**
 * Slot broker that requests slots from the owners of the pool's shards; this router may be one of them.
 *
 * <p>Messages may be lost and owners may change while a request waits, so the slot request is resent periodically.
 * Owners treat a repeated slot request as a duplicate and send a lost grant again. No byte of the request is sent to an
 * upstream before a grant, so resending is safe for non-idempotent requests too.
 */
public final class FleetSlotBroker implements SlotBroker, Service {
    // Bounds the delay in detecting a disconnected caller or a new owner.
    private static final long POLL_INTERVAL_MS = 25;
    private static final long RESEND_INTERVAL_MS = 1_000;
    private static final SlotOutcome UNUSED_SLOT = new SlotOutcome(SlotResult.CANCELLED, 0, 0, -1, 0);

    private final MemberDirectory members;
    private final PeerMessenger messenger;
    private final TimeSource timeSource;
    private final DoubleSupplier random;
    private final ShardMapHolder shardMaps;
    private final EntrySlots slots;
    private final ShardOwner owner;
    private final DemandReporter demandReporter;

    /**
     * Creates the broker and registers its message handlers; the messenger must not be started yet.
     *
     * @param random random numbers between 0 (inclusive) and 1 (exclusive)
     */
    public FleetSlotBroker(
            MemberDirectory members,
            UpstreamSource upstreams,
            PeerMessenger messenger,
            EventLog events,
            MetricRegistry metrics,
            TimeSource timeSource,
            DoubleSupplier random) {
        this.members = members;
        this.messenger = messenger;
        this.timeSource = timeSource;
        this.random = random;
        this.shardMaps = new ShardMapHolder(members, upstreams);
        this.slots = new EntrySlots(messenger, grant -> release(grant, UNUSED_SLOT));
        this.owner = new ShardOwner(members, messenger, shardMaps, slots, DispatchSettings.DEFAULT, events, timeSource);
        this.demandReporter = new DemandReporter(members, messenger, owner, timeSource);
        Gauge<Integer> waiting = owner::waitingCount;
        Gauge<Integer> ownedSlots = owner::slotsInUse;
        Gauge<Integer> entrySlots = slots::inUseCount;
        metrics.register("owned_requests_waiting", waiting);
        metrics.register("owned_slots_in_use", ownedSlots);
        metrics.register("entry_slots_in_use", entrySlots);
    }

    @Override
    public void start() {
        owner.start();
        demandReporter.start();
    }

    @Override
    public void stop() {
        demandReporter.stop();
        owner.stop();
    }

    /** Reports the demand immediately; the result completes when the replies have been applied. */
    CompletableFuture<Void> reportDemand() {
        return demandReporter.report();
    }

    /** Returns the identifiers of the shards owned by this router. */
    public Set<String> ownedShardIds() {
        return owner.ownedShardIds();
    }

    @Override
    public SlotGrant acquire(QueuedRequest request, String zone, BooleanSupplier callerDisconnected)
            throws RequestFailedException, InterruptedException {
        PoolKey pool = new PoolKey(zone, request.service());
        PendingSlotRequest pending = slots.register(request.requestId());
        try {
            RequestFailedException refusal = null;
            for (String shardId : shardOrder(pool)) {
                try {
                    return awaitSlot(request, shardId, refusal != null, pending, callerDisconnected);
                } catch (RequestFailedException e) {
                    refusal = moreInformative(refusal, e);
                    if (shouldStopWaiting(request, callerDisconnected)) {
                        throw e;
                    }
                }
            }
            throw refusal == null ? noUpstream(request) : refusal;
        } finally {
            slots.unregister(request.requestId(), pending);
        }
    }

    /** Returns two shards drawn with probability proportional to capacity, to spread the load, then all others. */
    private List<String> shardOrder(PoolKey pool) {
        Optional<PoolOwnership> ownership = shardMaps.current().pool(pool);
        if (ownership.isEmpty()) {
            return List.of();
        }
        List<String> order = new ArrayList<>();
        for (PoolShard shard : ownership.get().candidates(random.getAsDouble(), random.getAsDouble())) {
            order.add(shard.id());
        }
        Set<String> drawn = new HashSet<>(order);
        ownership.get().shards().stream()
                .map(PoolShard::id)
                .filter(id -> !drawn.contains(id))
                .forEach(order::add);
        return order;
    }

    private SlotGrant awaitSlot(
            QueuedRequest request,
            String shardId,
            boolean offeredBefore,
            PendingSlotRequest pending,
            BooleanSupplier callerDisconnected)
            throws RequestFailedException, InterruptedException {
        String requestedOwner = "";
        long requestedMs = 0;
        try {
            while (true) {
                String currentOwner = shardMaps.current().ownerOf(shardId).orElseThrow(() -> noUpstream(request));
                long nowMs = timeSource.monotonicMs();
                if (!currentOwner.equals(requestedOwner) || nowMs - requestedMs >= RESEND_INTERVAL_MS) {
                    cancel(request, requestedOwner, currentOwner);
                    sendRequest(request, shardId, currentOwner, offeredBefore);
                    requestedOwner = currentOwner;
                    requestedMs = nowMs;
                }
                PendingSlotRequest.Reply reply = pending.poll(POLL_INTERVAL_MS);
                if (reply instanceof PendingSlotRequest.Reply.Granted) {
                    SlotGrant grant = ((PendingSlotRequest.Reply.Granted) reply).grant();
                    slots.markInUse(grant);
                    return grant;
                }
                if (reply instanceof PendingSlotRequest.Reply.Refused) {
                    PendingSlotRequest.Reply.Refused refused = (PendingSlotRequest.Reply.Refused) reply;
                    throw refusal(request, refused.code(), refused.retryAfterMs());
                }
                if (shouldStopWaiting(request, callerDisconnected)) {
                    throw refusal(request, ErrorCode.TARGET_UNREACHABLE, RequestFailedException.NO_RETRY_AFTER_MS);
                }
                if (reply instanceof PendingSlotRequest.Reply.Moved) {
                    requestedMs = nowMs - RESEND_INTERVAL_MS + POLL_INTERVAL_MS;
                }
            }
        } catch (RequestFailedException | InterruptedException e) {
            cancel(request, requestedOwner, "");
            throw e;
        }
    }

    private boolean shouldStopWaiting(QueuedRequest request, BooleanSupplier callerDisconnected) {
        return timeSource.monotonicMs() >= request.deadlineMs() || callerDisconnected.getAsBoolean();
    }

    private void sendRequest(QueuedRequest request, String shardId, String ownerId, boolean offeredBefore) {
        if (ownerId.equals(members.self().id())) {
            owner.offer(
                    shardId,
                    request,
                    new Requester(ownerId, members.self().identity().incarnation()),
                    offeredBefore);
        } else {
            Envelope.Builder message = SlotMessages.request(shardId, request, timeSource.monotonicMs());
            message.getSlotRequestBuilder().setOfferedBefore(offeredBefore);
            sendTo(ownerId, message);
        }
    }

    private void cancel(QueuedRequest request, String requestedOwner, String nextOwner) {
        if (requestedOwner.isEmpty() || requestedOwner.equals(nextOwner)) {
            return;
        }
        if (requestedOwner.equals(members.self().id())) {
            owner.cancel(request.requestId());
        } else {
            sendTo(requestedOwner, SlotMessages.cancel(request.requestId()));
        }
    }

    /** Also sends the release to the current owners, which may have restored the slot after a change of owner. */
    @Override
    public void release(SlotGrant grant, SlotOutcome outcome) {
        slots.markReleased(grant);
        Set<String> owners = new HashSet<>(
                shardMaps.current().ownersOfUpstream(grant.upstream().id()));
        owners.add(grant.ownerMemberId());
        for (String ownerId : owners) {
            if (ownerId.equals(members.self().id())) {
                owner.release(grant.requestId(), grant.slotId(), outcome);
            } else {
                sendTo(ownerId, SlotMessages.release(grant, outcome));
            }
        }
    }

    private void sendTo(String memberId, Envelope.Builder message) {
        members.member(memberId).ifPresent(member -> messenger.send(member.peerAddress(), message));
    }

    private static RequestFailedException noUpstream(QueuedRequest request) {
        return RequestFailedException.notRun(ErrorCode.NO_UPSTREAM, request.service());
    }

    private static RequestFailedException refusal(QueuedRequest request, ErrorCode code, long retryAfterMs) {
        String argument =
                code == ErrorCode.TARGET_UNREACHABLE ? request.requestClass().name() : request.service();
        return RequestFailedException.notRunRetryAfter(retryAfterMs, code, argument);
    }

    /** Of two refusals, prefers one for lack of capacity to {@code NO_UPSTREAM}, which is less informative. */
    private static RequestFailedException moreInformative(RequestFailedException first, RequestFailedException second) {
        return first == null || first.code() == ErrorCode.NO_UPSTREAM ? second : first;
    }
}
