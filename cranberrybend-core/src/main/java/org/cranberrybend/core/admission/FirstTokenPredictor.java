package org.cranberrybend.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.PriorityQueue;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.admission.WaitingRequests.Waiting;
import org.cranberrybend.core.routing.EngineSelector;

/**
 * Predicts the time to first token (TTFT) of an arriving request from the work that will be served before it.
 *
 * <p>Requests of lower tiers count only if they hold a guaranteed slot, so that a lower tier never causes the refusal of
 * a request of a higher one. Within the tier, each other client account counts with at most the number of requests that
 * weighted fair queueing serves before the arriving one, so that the backlog of one account does not cause the refusal of
 * the others.
 *
 * <p>Edge cases: the prediction is 0 until speeds are measured, so that no request is refused without a measurement. If
 * no slot can be counted on, the requests ahead are assumed to be served one after another.
 */
final class FirstTokenPredictor {
    // Fraction of its expected duration that a request past its expected end is assumed to need in addition.
    private static final double OVERRUN_REMAINDER_RATIO = 0.25;

    private final WaitingRequests waiting;
    private final ClassShares shares;
    private final EngineSelector selector;
    private final OutputLengthEstimator outputLengths;

    FirstTokenPredictor(
            WaitingRequests waiting, ClassShares shares, EngineSelector selector, OutputLengthEstimator outputLengths) {
        this.waiting = waiting;
        this.shares = shares;
        this.selector = selector;
        this.outputLengths = outputLengths;
    }

    /** Returns the predicted time to first token of an arriving request, in milliseconds from now. */
    double firstTokenMs(QueuedRequest request, Collection<Slot> slots, long nowMs) {
        double prefillMs = selector.firstTokenMs(request.promptTokens(), nowMs);
        List<QueuedRequest> ahead = new ArrayList<>();
        boolean takesGuaranteedSlot = shares.isBelowShare(request.requestClass())
                && waiting.ofClass(ClassKey.of(request.requestClass())).isEmpty();
        for (ClassKey key : shares.backloggedBelowShare()) {
            ahead.add(waiting.ofClass(key).first().request());
        }
        if (!takesGuaranteedSlot) {
            addRequestsAhead(request, ahead);
        }
        double waitMs = waitMs(ahead, slots, nowMs);
        double shareWaitMs = guaranteedShareWaitMs(request, slots, nowMs);
        return Math.min(waitMs, shareWaitMs) + prefillMs;
    }

    private void addRequestsAhead(QueuedRequest request, List<QueuedRequest> ahead) {
        Tier tier = request.requestClass().tier();
        for (Tier higher : Tier.values()) {
            if (!higher.outranks(tier)) {
                break;
            }
            for (NavigableSet<Waiting> requests : waiting.accounts(higher).values()) {
                for (Waiting each : requests) {
                    addUnlessGuaranteed(each, ahead);
                }
            }
        }
        int own = 0;
        NavigableSet<Waiting> ownRequests = waiting.accounts(tier).get(request.clientAccount());
        if (ownRequests != null) {
            for (Waiting each : ownRequests) {
                if (each.request().firstTokenDueMs() <= request.firstTokenDueMs()) {
                    addUnlessGuaranteed(each, ahead);
                    own++;
                }
            }
        }
        for (Map.Entry<String, NavigableSet<Waiting>> entry :
                waiting.accounts(tier).entrySet()) {
            if (!entry.getKey().equals(request.clientAccount())) {
                double weight = waiting.tokenCounters(tier).weight(entry.getKey());
                double turns = Math.ceil((own + 1) * weight / request.weightRatio());
                entry.getValue().stream().limit((long) turns).forEach(each -> addUnlessGuaranteed(each, ahead));
            }
        }
    }

    private void addUnlessGuaranteed(Waiting each, List<QueuedRequest> ahead) {
        if (!waiting.holdsGuaranteedSlot(each)) {
            ahead.add(each.request());
        }
    }

    private double serviceMs(QueuedRequest request, long nowMs) {
        return selector.serviceMs(request.promptTokens(), outputLengths.estimate(request), nowMs);
    }

    /** Simulates the counted slots: running requests end as expected, and the requests ahead follow in their order. */
    private double waitMs(List<QueuedRequest> ahead, Collection<Slot> slots, long nowMs) {
        int capacity = selector.countedSlots(nowMs);
        List<Double> ends = expectedEnds(slots, nowMs);
        if (capacity == 0) {
            return ahead.stream().mapToDouble(each -> serviceMs(each, nowMs)).sum();
        }
        // While more requests run than the current limit allows, the first ones to end do not free a slot.
        int surplus = Math.max(0, ends.size() - capacity);
        PriorityQueue<Double> free = new PriorityQueue<>(ends.subList(surplus, ends.size()));
        for (int count = ends.size(); count < capacity; count++) {
            free.add((double) nowMs);
        }
        for (QueuedRequest each : ahead) {
            free.add(free.remove() + serviceMs(each, nowMs));
        }
        return free.remove() - nowMs;
    }

    private static List<Double> expectedEnds(Collection<Slot> slots, long nowMs) {
        List<Double> ends = new ArrayList<>(slots.size());
        for (Slot slot : slots) {
            double expectedEndMs = slot.grantedMs() + slot.expectedMs();
            ends.add(
                    expectedEndMs > nowMs
                            ? expectedEndMs
                            : nowMs + Math.max(1, slot.expectedMs() * OVERRUN_REMAINDER_RATIO));
        }
        Collections.sort(ends);
        return ends;
    }

    /** Returns the waiting time if the request is served only through its class's guaranteed share. */
    private double guaranteedShareWaitMs(QueuedRequest request, Collection<Slot> slots, long nowMs) {
        double ratio = request.requestClass().guaranteedShareRatio();
        double serviceMs = serviceMs(request, nowMs);
        int capacity = selector.countedSlots(nowMs);
        if (ratio == 0 || serviceMs == 0 || capacity == 0) {
            return Double.POSITIVE_INFINITY;
        }
        double aheadTokens = -shares.creditTokens(request.requestClass());
        for (Waiting each : waiting.ofClass(ClassKey.of(request.requestClass()))) {
            aheadTokens += each.request().promptTokens() + outputLengths.estimate(each.request());
        }
        double runningTokensPerMs = 0;
        for (Slot slot : slots) {
            runningTokensPerMs += slot.chargedTokens() / Math.max(1, slot.expectedMs());
        }
        if (runningTokensPerMs == 0) {
            return Double.POSITIVE_INFINITY;
        }
        return Math.max(waitMs(List.of(), slots, nowMs), aheadTokens / (runningTokensPerMs * ratio));
    }
}
