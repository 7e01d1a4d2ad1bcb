package org.cranberrybend.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Weighted fair queueing over the client accounts of one tier, by virtual token counters: each account has a counter of
 * the tokens served to it divided by its weight, and the account with the lowest counter is served next.
 *
 * <p>Edge cases: the counter of an account that becomes backlogged is raised to the lowest counter of the accounts with
 * waiting requests, or to the floor if there are none, so that idle time does not accumulate as credit. A higher
 * counter is kept. Counters of idle accounts at or below the floor are removed, because they would be raised to the
 * same value.
 */
public final class VirtualTokenCounters {
    private static final int PRUNE_THRESHOLD_ACCOUNTS = 1_024;

    private final Map<String, Counter> counters = new HashMap<>();
    /** Lowest counter of the accounts with waiting requests, as of the last dispatch; never decreases. */
    private double floorTokens;

    /** Records that a request of the account was added to the queue. */
    public void enqueued(String clientAccount, double weightRatio) {
        prune();
        Counter counter = counters.computeIfAbsent(clientAccount, name -> new Counter());
        counter.weightRatio = weightRatio;
        if (counter.waiting == 0) {
            counter.tokens = Math.max(counter.tokens, lowestWaitingTokens());
        }
        counter.waiting++;
    }

    /** Records that a request of the account left the queue. */
    public void dequeued(String clientAccount) {
        counters.get(clientAccount).waiting--;
    }

    /**
     * Charges the account for dispatched tokens, or applies a correction of an earlier charge, which may be negative.
     */
    public void charge(String clientAccount, double weightRatio, double tokens) {
        Counter counter = counters.get(clientAccount);
        if (counter == null) {
            // The counter was removed while the request ran.
            // The account's next counter starts at the floor or above it.
            return;
        }
        if (tokens > 0 && counter.waiting > 0) {
            floorTokens = Math.max(floorTokens, Math.min(counter.tokens, lowestWaitingTokens()));
        }
        counter.tokens += tokens / weightRatio;
    }

    /** Returns the counter of an account, or the floor if the account has none. */
    public double tokens(String clientAccount) {
        Counter counter = counters.get(clientAccount);
        return counter == null ? floorTokens : counter.tokens;
    }

    /** Returns the accounts with waiting requests by ascending counter. */
    public List<String> serviceOrder() {
        return counters.entrySet().stream()
                .filter(entry -> entry.getValue().waiting > 0)
                .sorted(Comparator.<Map.Entry<String, Counter>>comparingDouble(entry -> entry.getValue().tokens)
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the weight of an account with waiting requests. */
    double weight(String clientAccount) {
        return counters.get(clientAccount).weightRatio;
    }

    private double lowestWaitingTokens() {
        double lowest = Double.POSITIVE_INFINITY;
        for (Counter counter : counters.values()) {
            if (counter.waiting > 0) {
                lowest = Math.min(lowest, counter.tokens);
            }
        }
        return lowest == Double.POSITIVE_INFINITY ? floorTokens : lowest;
    }

    private void prune() {
        if (counters.size() > PRUNE_THRESHOLD_ACCOUNTS) {
            counters.values().removeIf(counter -> counter.waiting == 0 && counter.tokens <= floorTokens);
        }
    }

    private static final class Counter {
        private double tokens;
        private double weightRatio = 1;
        private int waiting;
    }
}
