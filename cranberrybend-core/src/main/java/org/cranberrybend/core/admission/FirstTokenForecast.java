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
 * Predicts the time to the first token of an arriving request from the work that is served before it.
 *
 * <p>Work of lower tiers counts only if it holds a guaranteed slot, so that a lower tier never causes the refusal of a
 * higher one. Within the tier, each other client account counts with no more requests than fairness serves before the
 * arriving one, so that one account's backlog does not cause the refusal of the others.
 *
 * <p>Edge cases: 0 until speeds are measured, so that nothing is refused on a guess; with no countable slot, the time of
 * one service is added for each request ahead.
 */
final class FirstTokenForecast {
    // A request past its expected end is assumed to need this part of its expected time again.
    private static final double OVERDUE_REMAINDER_RATIO = 0.25;

    private final WaitingRequests waiting;
    private final ClassShares shares;
    private final EngineSelector selector;
    private final OutputLengthEstimator lengths;

    FirstTokenForecast(
            WaitingRequests waiting, ClassShares shares, EngineSelector selector, OutputLengthEstimator lengths) {
        this.waiting = waiting;
        this.shares = shares;
        this.selector = selector;
        this.lengths = lengths;
    }

    /** Returns the predicted time from now to the first token of an arriving request, in milliseconds. */
    double firstTokenMs(QueuedRequest request, Collection<Slot> slots, long nowMs) {
        double prefillMs = selector.firstTokenMs(request.promptTokens(), nowMs);
        List<QueuedRequest> ahead = new ArrayList<>();
        boolean takesGuaranteedSlot = shares.isBehind(request.requestClass())
                && waiting.ofClass(ClassKey.of(request.requestClass())).isEmpty();
        for (ClassKey key : shares.behindWithWaiting()) {
            ahead.add(waiting.ofClass(key).first().request());
        }
        if (!takesGuaranteedSlot) {
            addTierWork(request, ahead);
        }
        double waitMs = waitMs(ahead, slots, nowMs);
        double shareMs = shareWaitMs(request, slots, nowMs);
        return Math.min(waitMs, shareMs) + prefillMs;
    }

    private void addTierWork(QueuedRequest request, List<QueuedRequest> ahead) {
        Tier tier = request.requestClass().tier();
        for (Tier higher : Tier.values()) {
            if (!higher.outranks(tier)) {
                break;
            }
            for (NavigableSet<Waiting> requests : waiting.accounts(higher).values()) {
                for (Waiting each : requests) {
                    addUnlessHolder(each, ahead);
                }
            }
        }
        int own = 0;
        NavigableSet<Waiting> ownRequests = waiting.accounts(tier).get(request.clientAccount());
        if (ownRequests != null) {
            for (Waiting each : ownRequests) {
                if (each.request().firstTokenDueMs() <= request.firstTokenDueMs()) {
                    addUnlessHolder(each, ahead);
                    own++;
                }
            }
        }
        for (Map.Entry<String, NavigableSet<Waiting>> entry :
                waiting.accounts(tier).entrySet()) {
            if (!entry.getKey().equals(request.clientAccount())) {
                double weight = waiting.fairness(tier).weight(entry.getKey());
                double turns = Math.ceil((own + 1) * weight / request.weightRatio());
                entry.getValue().stream().limit((long) turns).forEach(each -> addUnlessHolder(each, ahead));
            }
        }
    }

    private void addUnlessHolder(Waiting each, List<QueuedRequest> ahead) {
        if (!waiting.holdsGuaranteedSlot(each)) {
            ahead.add(each.request());
        }
    }

    private double serviceMs(QueuedRequest request, long nowMs) {
        return selector.serviceMs(request.promptTokens(), lengths.estimate(request), nowMs);
    }

    /** Replays the expected ends of running requests and the requests ahead on the countable slots. */
    private double waitMs(List<QueuedRequest> ahead, Collection<Slot> slots, long nowMs) {
        int capacity = selector.countedSlots(nowMs);
        List<Double> ends = runningEnds(slots, nowMs);
        if (capacity == 0) {
            return ahead.stream().mapToDouble(each -> serviceMs(each, nowMs)).sum();
        }
        // Slots above a limit that has fallen do not become free when they end.
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

    private static List<Double> runningEnds(Collection<Slot> slots, long nowMs) {
        List<Double> ends = new ArrayList<>(slots.size());
        for (Slot slot : slots) {
            double expectedEndMs = slot.grantedMs() + slot.expectedMs();
            ends.add(
                    expectedEndMs > nowMs
                            ? expectedEndMs
                            : nowMs + Math.max(1, slot.expectedMs() * OVERDUE_REMAINDER_RATIO));
        }
        Collections.sort(ends);
        return ends;
    }

    /** Returns the wait if the request is served through its class's guaranteed share only. */
    private double shareWaitMs(QueuedRequest request, Collection<Slot> slots, long nowMs) {
        double ratio = request.requestClass().guaranteedShareRatio();
        double serviceMs = serviceMs(request, nowMs);
        int capacity = selector.countedSlots(nowMs);
        if (ratio == 0 || serviceMs == 0 || capacity == 0) {
            return Double.POSITIVE_INFINITY;
        }
        double aheadTokens = -shares.creditTokens(request.requestClass());
        for (Waiting each : waiting.ofClass(ClassKey.of(request.requestClass()))) {
            aheadTokens += each.request().promptTokens() + lengths.estimate(each.request());
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
