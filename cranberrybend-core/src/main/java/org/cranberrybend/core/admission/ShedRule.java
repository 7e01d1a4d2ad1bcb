package org.cranberrybend.core.admission;

import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.admission.WaitingRequests.Waiting;

/**
 * Chooses the request to shed when the queue is full: the newest request of the lowest tier below that of the arriving
 * request. If there is none, the newest request of the client account with the most waiting requests of the same tier in
 * proportion to its weight, unless the arriving request would take its own account above its fair share.
 *
 * <p>A request that holds its class's guaranteed slot counts as dispatched and is never chosen.
 */
final class ShedRule {
    private final WaitingRequests waiting;

    ShedRule(WaitingRequests waiting) {
        this.waiting = waiting;
    }

    /** Returns the waiting request to shed for an arriving one, or empty if the arriving request is to be refused. */
    Optional<Waiting> victimFor(QueuedRequest arriving) {
        Tier ownTier = arriving.requestClass().tier();
        Tier[] tiers = Tier.values();
        for (int number = tiers.length - 1; number > ownTier.number(); number--) {
            Optional<Waiting> newest = newest(tiers[number]);
            if (newest.isPresent()) {
                return newest;
            }
        }
        return newestOfLargestAccount(arriving, ownTier);
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

    private Optional<Waiting> newestOfLargestAccount(QueuedRequest arriving, Tier tier) {
        double weights = 0;
        int count = 1;
        String largest = null;
        double largestQueued = 0;
        for (Map.Entry<String, NavigableSet<Waiting>> entry :
                waiting.accounts(tier).entrySet()) {
            double weight = waiting.tokenCounters(tier).weight(entry.getKey());
            int queued = entry.getValue().size();
            count += queued;
            if (!entry.getKey().equals(arriving.clientAccount())) {
                weights += weight;
                if (queued / weight > largestQueued) {
                    largest = entry.getKey();
                    largestQueued = queued / weight;
                }
            }
        }
        NavigableSet<Waiting> own = waiting.accounts(tier).get(arriving.clientAccount());
        double ownQueued = (own == null ? 0 : own.size()) + 1;
        double fairShare = count * arriving.weightRatio() / (weights + arriving.weightRatio());
        // The arriving request counts as one of its account. Otherwise two accounts with equal numbers of waiting
        // requests would shed each other's requests in turn.
        if (largest == null || ownQueued > fairShare || ownQueued / arriving.weightRatio() > largestQueued) {
            return Optional.empty();
        }
        return Optional.ofNullable(newestOf(waiting.accounts(tier).get(largest)));
    }
}
