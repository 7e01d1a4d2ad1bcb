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
 * Slot broker of the fleet: asks the owners of the pool's shards, of which this router may be one.
 *
 * <p>Messages may be lost and owners may change while a request waits, so the question is repeated; owners ignore a
 * repeated question and repeat a lost grant. No byte of the request has been sent before a grant, so asking again is
 * safe for requests that are not idempotent as well.
 */
public final class FleetSlotBroker implements SlotBroker, Service {
    // Bounds how late a vanished caller or a new owner is noticed.
    private static final long CHECK_INTERVAL_MS = 25;
    private static final long REPEAT_INTERVAL_MS = 1_000;
    private static final SlotOutcome UNUSED = new SlotOutcome(SlotResult.CANCELLED, 0, 0, -1, 0);

    private final MemberDirectory members;
    private final PeerMessenger messenger;
    private final TimeSource timeSource;
    private final DoubleSupplier random;
    private final ShardTable table;
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
        this.table = new ShardTable(members, upstreams);
        this.slots = new EntrySlots(messenger, grant -> release(grant, UNUSED));
        this.owner = new ShardOwner(members, messenger, table, slots, DispatchSettings.DEFAULT, events, timeSource);
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

    /** Reports the demand now instead of within a second; the result completes when the answers were applied. */
    CompletableFuture<Void> reportDemand() {
        return demandReporter.report();
    }

    /** Returns the identifiers of the shards owned by this router. */
    public Set<String> ownedShardIds() {
        return owner.ownedShardIds();
    }

    @Override
    public SlotGrant acquire(QueuedRequest request, String zone, BooleanSupplier callerGone)
            throws RequestFailedException, InterruptedException {
        PoolKey pool = new PoolKey(zone, request.service());
        PendingSlot pending = slots.open(request.requestId());
        try {
            RequestFailedException refusal = null;
            for (String shardId : shardOrder(pool)) {
                try {
                    return await(request, shardId, refusal != null, pending, callerGone);
                } catch (RequestFailedException e) {
                    refusal = moreTelling(refusal, e);
                    if (isOver(request, callerGone)) {
                        throw e;
                    }
                }
            }
            throw refusal == null ? noUpstream(request) : refusal;
        } finally {
            slots.close(request.requestId(), pending);
        }
    }

    /** Two shards drawn by capacity first, so that entry routers spread over the shards; then all others. */
    private List<String> shardOrder(PoolKey pool) {
        Optional<PoolOwnership> ownership = table.current().pool(pool);
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

    private SlotGrant await(
            QueuedRequest request,
            String shardId,
            boolean offeredBefore,
            PendingSlot pending,
            BooleanSupplier callerGone)
            throws RequestFailedException, InterruptedException {
        String askedOwner = "";
        long askedMs = 0;
        try {
            while (true) {
                String currentOwner = table.current().ownerOf(shardId).orElseThrow(() -> noUpstream(request));
                long nowMs = timeSource.monotonicMs();
                if (!currentOwner.equals(askedOwner) || nowMs - askedMs >= REPEAT_INTERVAL_MS) {
                    withdraw(request, askedOwner, currentOwner);
                    ask(request, shardId, currentOwner, offeredBefore);
                    askedOwner = currentOwner;
                    askedMs = nowMs;
                }
                PendingSlot.Answer answer = pending.poll(CHECK_INTERVAL_MS);
                if (answer instanceof PendingSlot.Answer.Granted) {
                    SlotGrant grant = ((PendingSlot.Answer.Granted) answer).grant();
                    slots.use(grant);
                    return grant;
                }
                if (answer instanceof PendingSlot.Answer.Refused) {
                    PendingSlot.Answer.Refused refused = (PendingSlot.Answer.Refused) answer;
                    throw refusal(request, refused.code(), refused.retryAfterMs());
                }
                if (isOver(request, callerGone)) {
                    throw refusal(request, ErrorCode.TARGET_UNREACHABLE, RequestFailedException.NO_RETRY_AFTER_MS);
                }
                if (answer instanceof PendingSlot.Answer.Moved) {
                    askedMs = nowMs - REPEAT_INTERVAL_MS + CHECK_INTERVAL_MS;
                }
            }
        } catch (RequestFailedException | InterruptedException e) {
            withdraw(request, askedOwner, "");
            throw e;
        }
    }

    private boolean isOver(QueuedRequest request, BooleanSupplier callerGone) {
        return timeSource.monotonicMs() >= request.deadlineMs() || callerGone.getAsBoolean();
    }

    private void ask(QueuedRequest request, String shardId, String ownerId, boolean offeredBefore) {
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

    private void withdraw(QueuedRequest request, String askedOwner, String nextOwner) {
        if (askedOwner.isEmpty() || askedOwner.equals(nextOwner)) {
            return;
        }
        if (askedOwner.equals(members.self().id())) {
            owner.cancel(request.requestId());
        } else {
            sendTo(askedOwner, SlotMessages.cancel(request.requestId()));
        }
    }

    /** The release also goes to the present owners, which may have restored the slot after a change of owner. */
    @Override
    public void release(SlotGrant grant, SlotOutcome outcome) {
        slots.endUse(grant);
        Set<String> owners =
                new HashSet<>(table.current().ownersOfUpstream(grant.upstream().id()));
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

    /** Of the refusals of several shards, one for lack of capacity tells the caller more than one for lack of upstreams. */
    private static RequestFailedException moreTelling(RequestFailedException first, RequestFailedException second) {
        return first == null || first.code() == ErrorCode.NO_UPSTREAM ? second : first;
    }
}
