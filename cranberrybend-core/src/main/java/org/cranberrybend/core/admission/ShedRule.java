package org.cranberrybend.core.admission;

import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.admission.WaitingRequests.Waiting;

/**
 * Decides which request makes room when the queue bound is reached: by tier only, and within the lowest tier by the
 * client accounts' fair share of the waiting requests.
 *
 * <p>A request that holds its class's guaranteed slot counts as dispatched and is never chosen.
 */
final class ShedRule {
    private final WaitingRequests waiting;

    ShedRule(WaitingRequests waiting) {
        this.waiting = waiting;
    }

    /** Returns the waiting request to shed for an arriving one; empty if the arriving one is to be refused. */
    Optional<Waiting> victimFor(QueuedRequest arriving) {
        Tier ownTier = arriving.requestClass().tier();
        Tier[] tiers = Tier.values();
        for (int number = tiers.length - 1; number > ownTier.number(); number--) {
            Optional<Waiting> newest = newest(tiers[number]);
            if (newest.isPresent()) {
                return newest;
            }
        }
        return largestHolder(arriving, ownTier);
    }

    private Optional<Waiting> newest(Tier tier) {
        Waiting newest = null;
        for (NavigableSet<Waiting> requests : waiting.accounts(tier).values()) {
            newest = newer(newest, newestOf(requests));
        }
        return Optional.ofNullable(newest);
    }

    private Waiting newestOf(NavigableSet<Waiting> requests) {
        Waiting newest = null;
        for (Waiting each : requests) {
            if (newer(newest, each) == each && !waiting.holdsGuaranteedSlot(each)) {
                newest = each;
            }
        }
        return newest;
    }

    private static Waiting newer(Waiting one, Waiting other) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        return WaitingRequests.BY_AGE.compare(one, other) > 0 ? one : other;
    }

    private Optional<Waiting> largestHolder(QueuedRequest arriving, Tier tier) {
        double weights = 0;
        int count = 1;
        String largest = null;
        double largestHeld = 0;
        for (Map.Entry<String, NavigableSet<Waiting>> entry :
                waiting.accounts(tier).entrySet()) {
            double weight = waiting.fairness(tier).weight(entry.getKey());
            int held = entry.getValue().size();
            count += held;
            if (!entry.getKey().equals(arriving.clientAccount())) {
                weights += weight;
                if (held / weight > largestHeld) {
                    largest = entry.getKey();
                    largestHeld = held / weight;
                }
            }
        }
        NavigableSet<Waiting> own = waiting.accounts(tier).get(arriving.clientAccount());
        double ownHeld = (own == null ? 0 : own.size()) + 1;
        double fairShare = count * arriving.weightRatio() / (weights + arriving.weightRatio());
        // Counting the arriving request makes the rule stop once both hold the same, instead of swapping for ever.
        if (largest == null || ownHeld > fairShare || ownHeld / arriving.weightRatio() > largestHeld) {
            return Optional.empty();
        }
        return Optional.ofNullable(newestOf(waiting.accounts(tier).get(largest)));
    }
}
