package org.cranberrybend.entry.upstream;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.cranberrybend.core.balancing.BalancedChoice;

/** Selects among upstreams by load alone. Without load reports, the counts of this process decide. */
final class LoadSelector {
    private final ZoneDistances distances;
    private final IntSupplier instances;
    private final BalancedChoice choice;

    LoadSelector(ZoneDistances distances, IntSupplier instances, RandomGenerator random) {
        this.distances = distances;
        this.instances = instances;
        this.choice = new BalancedChoice(random);
    }

    /**
     * Draws an upstream among the least loaded ones, as far as their load is known. Only arrivals at the upstreams that
     * are nearest to this instance count: instances of other zones fill those of their own zones.
     *
     * @param candidates at least one upstream
     * @param penalized whether upstreams of other zones and regions count as loaded
     */
    Upstream draw(UpstreamCandidates candidates, boolean penalized, long nowMs) {
        if (!candidates.get(0).load().service().isReported()) {
            return leastRunning(candidates, penalized);
        }
        int fleet = instances.getAsInt();
        double leastPenalty = Double.MAX_VALUE;
        for (int i = 0; i < candidates.size(); i++) {
            leastPenalty = Math.min(leastPenalty, penalty(candidates.get(i), penalized));
        }
        choice.clear();
        for (int i = 0; i < candidates.size(); i++) {
            Upstream each = candidates.get(i);
            int slots = Math.max(1, each.entry().slots());
            double penalty = penalty(each, penalized);
            double arrivals = penalty > leastPenalty ? 0 : each.load().arrivalsUntilNextReport(slots, fleet, nowMs);
            choice.add(each.load().remainingRequests(nowMs) / slots + penalty, slots, arrivals);
        }
        return candidates.get(choice.draw());
    }

    private double penalty(Upstream upstream, boolean penalized) {
        return penalized ? distances.penalty(upstream) : 0;
    }

    /** Returns the first of the upstreams with the fewest requests of this process per slot. */
    private Upstream leastRunning(UpstreamCandidates candidates, boolean penalized) {
        Upstream best = null;
        double least = 0;
        for (int i = 0; i < candidates.size(); i++) {
            Upstream each = candidates.get(i);
            double load = each.running() / (double) Math.max(1, each.entry().slots()) + penalty(each, penalized);
            if (best == null || load < least) {
                best = each;
                least = load;
            }
        }
        return best;
    }
}
