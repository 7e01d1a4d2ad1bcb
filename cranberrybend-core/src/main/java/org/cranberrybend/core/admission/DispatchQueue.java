package org.cranberrybend.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.admission.WaitingRequests.Waiting;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.routing.EngineLoad;
import org.cranberrybend.core.routing.EngineSelector;
import org.cranberrybend.core.routing.Upstream;

/**
 * The single queue of a pool shard: admits, orders, sheds and dispatches requests to the shard's upstreams.
 *
 * <p>It maintains two invariants. No request is shed in favor of one of a lower tier: shedding is decided by tier before
 * anything else. No class starves: classes below their guaranteed share are served before the order of tiers applies.
 *
 * <p>Edge cases:
 *
 * <ul>
 *   <li>Until {@link #setUpstreams} is called for the first time, requests wait and nothing is granted, so that a new
 *       shard owner can restore the slots in use first. After that, a request that no upstream may serve is refused.
 *   <li>An offer of a waiting request is ignored. An offer of a request that has a slot repeats the grant, because the
 *       first grant may have been lost. If the request now excludes that upstream, the old slot is freed instead and the
 *       request is queued again.
 *   <li>A request that excludes an upstream has been sent before. It is not refused for missing its first-token target,
 *       because the work already done for it would be wasted.
 *   <li>A release of an unknown slot is ignored, because releases may be repeated.
 *   <li>A slot whose release was lost is reclaimed some time after the request's deadline.
 * </ul>
 *
 * <p>Not thread-safe. Times are milliseconds on the owner's monotonic clock.
 */
public final class DispatchQueue {
    private static final long RESERVE_CHECK_MS = 100;
    private static final long RETRY_AFTER_MIN_MS = 250;
    private static final long RETRY_AFTER_MAX_MS = 60_000;

    private final DispatchSettings settings;
    private final String ownerMemberId;
    private final String slotIdPrefix;
    private final EngineSelector selector = new EngineSelector();
    private final ClassShares shares = new ClassShares();
    private final WaitingRequests waiting = new WaitingRequests(shares);
    private final ShedRule shedRule = new ShedRule(waiting);
    private final OutputLengthEstimator outputLengths;
    private final FirstTokenPredictor firstTokenPredictor;
    private final TierReserve reserve;
    /** Granted and restored slots by identifier, until they are released or reclaimed. */
    private final Map<String, Slot> slots = new LinkedHashMap<>();
    /** The same slots as in {@code slots}, by request identifier. */
    private final Map<String, Slot> slotsByRequest = new LinkedHashMap<>();

    private boolean upstreamsKnown;
    private long nextSlot = 1;

    /**
     * Creates an empty queue.
     *
     * @param settings limits and admission rules
     * @param ownerMemberId member that owns the shard
     * @param slotIdPrefix prefix of slot identifiers, unique per owner incarnation and shard
     */
    public DispatchQueue(DispatchSettings settings, String ownerMemberId, String slotIdPrefix) {
        this.settings = settings;
        this.ownerMemberId = ownerMemberId;
        this.slotIdPrefix = slotIdPrefix;
        this.outputLengths = new OutputLengthEstimator(settings.outputPercentile());
        this.reserve = new TierReserve(settings.reserveDeviations());
        this.firstTokenPredictor = new FirstTokenPredictor(waiting, shares, selector, outputLengths);
    }

    /** Offers a request. Returns its decision, if it was made at once, and the decisions about others that it caused. */
    public List<AdmissionDecision> offer(QueuedRequest request, long nowMs) {
        List<AdmissionDecision> decisions = new ArrayList<>();
        if (waiting.contains(request.requestId()) || repeatGrant(request, decisions)) {
            return decisions;
        }
        expireOverdue(nowMs, decisions);
        reserve.recordArrival(
                request.requestClass().tier(),
                selector.serviceMs(request.promptTokens(), outputLengths.estimate(request), nowMs),
                nowMs);
        if (request.deadlineMs() <= nowMs) {
            decisions.add(new AdmissionDecision.Expired(request.requestId()));
        } else if (upstreamsKnown && !selector.hasUsable(request.excludedUpstreams())) {
            decisions.add(
                    new AdmissionDecision.Refused(request.requestId(), ErrorCode.NO_UPSTREAM, RETRY_AFTER_MIN_MS));
        } else if (!refuseEarly(request, nowMs, decisions) && makeRoom(request, nowMs, decisions)) {
            waiting.add(request);
        }
        grantAll(nowMs, decisions);
        return decisions;
    }

    /** Cancels a waiting request. A request that already has a slot is not affected; it ends with its release. */
    public List<AdmissionDecision> cancel(String requestId) {
        return waiting.remove(requestId)
                .<List<AdmissionDecision>>map(request -> List.of(new AdmissionDecision.Cancelled(requestId)))
                .orElse(List.of());
    }

    /** Releases a slot, records its outcome, and returns the decisions that the free slot allows. */
    public List<AdmissionDecision> release(String slotId, SlotOutcome outcome, long nowMs) {
        Slot slot = slots.get(slotId);
        if (slot == null) {
            return List.of();
        }
        removeSlot(slot);
        selector.load(slot.inUse().upstreamId()).ifPresent(load -> recordOutcome(load, slot, outcome, nowMs));
        if (slot.request() != null) {
            correctCharge(slot, outcome);
        }
        return dispatch(nowMs);
    }

    /** Replaces the upstreams of the shard. Waiting requests that none of them may serve are refused. */
    public List<AdmissionDecision> setUpstreams(Collection<Upstream> upstreams, long nowMs) {
        selector.setUpstreams(upstreams, this::slotsInUse);
        upstreamsKnown = true;
        return dispatch(nowMs);
    }

    /** Restores slots in use from the reports of entry routers. Slots that are already known are ignored. */
    public void restoreSlotsInUse(Collection<SlotInUse> inUse, long nowMs) {
        for (SlotInUse each : inUse) {
            if (slots.containsKey(each.slotId()) || slotsByRequest.containsKey(each.requestId())) {
                continue;
            }
            addSlot(new Slot(null, each, null, false, 0, Double.NaN, nowMs, 0, nowMs + settings.restoredSlotMs()));
            selector.load(each.upstreamId()).ifPresent(load -> load.occupy(0, nowMs));
        }
    }

    /** Expires overdue requests and slots and grants free slots. Must be called at {@link #nextDispatchMs} at the latest. */
    public List<AdmissionDecision> dispatch(long nowMs) {
        List<AdmissionDecision> decisions = new ArrayList<>();
        expireOverdue(nowMs, decisions);
        refuseUnservable(decisions);
        grantAll(nowMs, decisions);
        return decisions;
    }

    /** Returns the time by which {@link #dispatch} must be called unless another call comes first, in milliseconds. */
    public OptionalLong nextDispatchMs(long nowMs) {
        LongStream times = slots.values().stream().mapToLong(Slot::reclaimMs);
        if (waiting.size() > 0) {
            times = LongStream.concat(times, selector.nextFreeSlotMs(nowMs).stream());
            if (selector.freeSlots(nowMs) > 0) {
                // The free slots are reserved for higher tiers, and only the passage of time reduces the reserve.
                times = LongStream.concat(times, LongStream.of(nowMs + RESERVE_CHECK_MS));
            }
            times = LongStream.concat(times, requestTimes(QueuedRequest::deadlineMs));
            if (settings.refuseOverdue()) {
                times = LongStream.concat(times, requestTimes(QueuedRequest::firstTokenDueMs));
            }
        }
        return times.filter(atMs -> atMs > nowMs).min();
    }

    private LongStream requestTimes(ToLongFunction<QueuedRequest> time) {
        return waiting.all().stream().mapToLong(each -> time.applyAsLong(each.request()));
    }

    /** Returns the number of waiting requests. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Returns the number of slots in use, granted or restored. */
    public int slotsInUse() {
        return slots.size();
    }

    /** Returns the number of slots in use on one upstream. */
    public int slotsInUse(String upstreamId) {
        int count = 0;
        for (Slot slot : slots.values()) {
            if (slot.inUse().upstreamId().equals(upstreamId)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the loads of the shard's upstreams. */
    public Collection<EngineLoad> loads() {
        return selector.loads();
    }

    /** Returns whether a waiting request holds its class's guaranteed slot. */
    public boolean holdsGuaranteedSlot(String requestId) {
        for (Waiting each : waiting.all()) {
            if (each.request().requestId().equals(requestId)) {
                return waiting.holdsGuaranteedSlot(each);
            }
        }
        return false;
    }

    /** Removes and returns all waiting requests in the order of their offers, so that they can go to a new shard owner. */
    public List<QueuedRequest> removeAllWaiting() {
        List<QueuedRequest> handedOver = new ArrayList<>();
        waiting.all().forEach(each -> handedOver.add(each.request()));
        handedOver.forEach(request -> waiting.remove(request.requestId()));
        return handedOver;
    }

    private boolean repeatGrant(QueuedRequest request, List<AdmissionDecision> decisions) {
        Slot slot = slotsByRequest.get(request.requestId());
        if (slot == null) {
            return false;
        }
        if (slot.grant() == null
                || request.excludedUpstreams().contains(slot.inUse().upstreamId())) {
            removeSlot(slot);
            selector.load(slot.inUse().upstreamId()).ifPresent(EngineLoad::vacate);
            return false;
        }
        decisions.add(new AdmissionDecision.Granted(slot.grant()));
        return true;
    }

    private boolean refuseEarly(QueuedRequest request, long nowMs, List<AdmissionDecision> decisions) {
        if (!settings.refuseEarly() || !upstreamsKnown || wasSentBefore(request)) {
            return false;
        }
        double lateMs =
                nowMs + firstTokenPredictor.firstTokenMs(request, slots.values(), nowMs) - request.firstTokenDueMs();
        if (lateMs <= 0) {
            return false;
        }
        decisions.add(new AdmissionDecision.Refused(
                request.requestId(), ErrorCode.TARGET_UNREACHABLE, retryAfterMs((long) lateMs)));
        return true;
    }

    /** Returns whether the request may wait, after shedding another one if the queue is full. */
    private boolean makeRoom(QueuedRequest request, long nowMs, List<AdmissionDecision> decisions) {
        RequestClass requestClass = request.requestClass();
        boolean takesGuaranteedSlot = shares.isBelowShare(requestClass)
                && waiting.ofClass(ClassKey.of(requestClass)).isEmpty();
        if (takesGuaranteedSlot || waiting.size() - waiting.guaranteedSlotHolders() < settings.maxWaiting()) {
            return true;
        }
        Optional<Waiting> victim = shedRule.victimFor(request);
        String shedId = victim.map(each -> each.request().requestId()).orElse(request.requestId());
        victim.ifPresent(each -> waiting.remove(shedId));
        double waitMs = firstTokenPredictor.firstTokenMs(request, slots.values(), nowMs);
        decisions.add(new AdmissionDecision.Refused(shedId, ErrorCode.SHED, retryAfterMs((long) waitMs)));
        return victim.isPresent();
    }

    private static boolean wasSentBefore(QueuedRequest request) {
        return !request.excludedUpstreams().isEmpty();
    }

    private static long retryAfterMs(long predictedMs) {
        return Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, predictedMs));
    }

    private void expireOverdue(long nowMs, List<AdmissionDecision> decisions) {
        for (Slot slot : List.copyOf(slots.values())) {
            if (slot.reclaimMs() <= nowMs) {
                removeSlot(slot);
                selector.load(slot.inUse().upstreamId()).ifPresent(EngineLoad::vacate);
            }
        }
        Optional<QueuedRequest> first = waiting.earliestDeadline();
        while (first.isPresent() && first.get().deadlineMs() <= nowMs) {
            waiting.remove(first.get().requestId());
            decisions.add(new AdmissionDecision.Expired(first.get().requestId()));
            first = waiting.earliestDeadline();
        }
        if (settings.refuseOverdue() && upstreamsKnown) {
            refuseOverdue(nowMs, decisions);
        }
    }

    private void refuseOverdue(long nowMs, List<AdmissionDecision> decisions) {
        List<QueuedRequest> overdue = new ArrayList<>();
        for (Waiting each : waiting.allByFirstTokenDue()) {
            if (each.request().firstTokenDueMs() > nowMs) {
                break;
            }
            if (!wasSentBefore(each.request())) {
                overdue.add(each.request());
            }
        }
        for (QueuedRequest request : overdue) {
            waiting.remove(request.requestId());
            decisions.add(new AdmissionDecision.Refused(
                    request.requestId(), ErrorCode.TARGET_UNREACHABLE, RETRY_AFTER_MIN_MS));
        }
    }

    private void refuseUnservable(List<AdmissionDecision> decisions) {
        if (!upstreamsKnown) {
            return;
        }
        List<QueuedRequest> unservable = new ArrayList<>();
        for (Waiting each : waiting.all()) {
            if (!selector.hasUsable(each.request().excludedUpstreams())) {
                unservable.add(each.request());
            }
        }
        for (QueuedRequest request : unservable) {
            waiting.remove(request.requestId());
            decisions.add(
                    new AdmissionDecision.Refused(request.requestId(), ErrorCode.NO_UPSTREAM, RETRY_AFTER_MIN_MS));
        }
    }

    private void grantAll(long nowMs, List<AdmissionDecision> decisions) {
        if (!upstreamsKnown) {
            return;
        }
        Optional<Waiting> next = nextPlaceable(nowMs);
        while (next.isPresent()) {
            decisions.add(grant(next.get(), nowMs));
            next = nextPlaceable(nowMs);
        }
    }

    private Optional<Waiting> nextPlaceable(long nowMs) {
        return waiting.next(
                request -> selector.hasFreeSlot(request.excludedUpstreams(), nowMs), tier -> keepsReserve(tier, nowMs));
    }

    private boolean keepsReserve(Tier tier, long nowMs) {
        int runningHigher = 0;
        for (Slot slot : slots.values()) {
            if (slot.request() != null && slot.request().requestClass().tier().outranks(tier)) {
                runningHigher++;
            }
        }
        double reservedSlots = reserve.reservedSlots(tier, runningHigher, nowMs);
        // The reserve is rounded down: rounded up, it would keep a slot idle for a negligible demand.
        return reservedSlots < 1 || selector.freeSlots(nowMs) - 1 >= Math.floor(reservedSlots);
    }

    private AdmissionDecision grant(Waiting next, long nowMs) {
        QueuedRequest request = next.request();
        boolean guaranteed = waiting.holdsGuaranteedSlot(next);
        long outputTokens = outputLengths.estimate(request);
        long chargedTokens = Math.max(1, request.promptTokens() + outputTokens);
        // A slot request carries no digest of the prompt prefix. Requests of one account and class share most of it.
        String affinityKey =
                request.clientAccount() + "/" + request.requestClass().name();
        EngineLoad load = selector.select(
                        request.promptTokens(), outputTokens, request.excludedUpstreams(), affinityKey, nowMs)
                .orElseThrow();
        waiting.tokenCounters(next.tier()).charge(request.clientAccount(), request.weightRatio(), chargedTokens);
        shares.charge(request.requestClass(), chargedTokens, guaranteed);
        waiting.remove(request.requestId());

        double serviceMs = load.serviceMs(request.promptTokens(), outputTokens);
        double firstTokenMs = load.firstTokenMs(request.promptTokens(), nowMs);
        load.occupy(request.promptTokens(), nowMs);
        SlotGrant grant = new SlotGrant(slotIdPrefix + nextSlot++, request.requestId(), load.upstream(), ownerMemberId);
        addSlot(new Slot(
                grant,
                new SlotInUse(grant.slotId(), grant.requestId(), load.upstream().id()),
                request,
                guaranteed,
                chargedTokens,
                firstTokenMs,
                nowMs,
                Double.isNaN(serviceMs) ? 0 : serviceMs,
                request.deadlineMs() + settings.slotGraceMs()));
        return new AdmissionDecision.Granted(grant);
    }

    private void recordOutcome(EngineLoad load, Slot slot, SlotOutcome outcome, long nowMs) {
        load.vacate();
        if (outcome.result().isLeaving()) {
            load.markLeaving();
        } else if (outcome.result().isFailure()) {
            load.recordFailure(nowMs);
        } else if (outcome.result() == SlotResult.COMPLETED) {
            double targetMs = slot.request() == null
                    ? Double.POSITIVE_INFINITY
                    : slot.request().requestClass().interTokenTargetMs();
            load.recordSuccess(
                    outcome.promptTokens(),
                    outcome.outputTokens(),
                    outcome.firstTokenMs(),
                    outcome.totalMs(),
                    slot.predictedFirstTokenMs(),
                    targetMs,
                    nowMs);
            if (slot.request() != null && outcome.outputTokens() > 0) {
                outputLengths.record(slot.request().requestClass(), outcome.outputTokens());
            }
        }
    }

    private void correctCharge(Slot slot, SlotOutcome outcome) {
        QueuedRequest request = slot.request();
        double servedTokens = Math.max(1, outcome.promptTokens() + outcome.outputTokens());
        double correction = servedTokens - slot.chargedTokens();
        waiting.tokenCounters(request.requestClass().tier())
                .charge(request.clientAccount(), request.weightRatio(), correction);
        shares.charge(request.requestClass(), correction, slot.guaranteed());
    }

    private void addSlot(Slot slot) {
        slots.put(slot.inUse().slotId(), slot);
        slotsByRequest.put(slot.inUse().requestId(), slot);
    }

    private void removeSlot(Slot slot) {
        slots.remove(slot.inUse().slotId());
        slotsByRequest.remove(slot.inUse().requestId());
    }
}
