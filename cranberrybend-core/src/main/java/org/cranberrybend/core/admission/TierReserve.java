package org.cranberrybend.core.admission;

import java.util.EnumMap;
import java.util.Map;
import org.cranberrybend.core.account.Tier;

/**
 * Free slots kept back from lower tiers for the requests of higher tiers that are about to arrive.
 *
 * <p>Without a reserve every slot that becomes free while no higher tier waits is taken by a long request of a lower
 * tier, and a burst of short requests finds none. The slots that a tier needs on average are its arrival rate times its
 * service time (Little's law); a multiple of the square root is added for the variation of a Poisson process.
 *
 * <p>Edge cases: before service times are measured nothing is reserved; refused requests count as demand, since they
 * would have needed a slot; guaranteed slots are not subject to the reserve, so that no class starves.
 */
final class TierReserve {
    private static final double TIME_CONSTANT_MS = 5_000;

    private final double deviations;
    /** Decayed sum of the service times offered, by tier, in milliseconds; divided by the time constant, it is slots. */
    private final Map<Tier, Double> offeredMs = new EnumMap<>(Tier.class);

    private long decayedMs;

    /** Creates a reserve of the given number of standard deviations; negative for no reserve at all. */
    TierReserve(double deviations) {
        this.deviations = deviations;
    }

    /** Counts an offered request. */
    void offered(Tier tier, double serviceMs, long nowMs) {
        decay(nowMs);
        offeredMs.merge(tier, serviceMs, Double::sum);
    }

    /**
     * Returns how many free slots a request of a tier must leave.
     *
     * @param runningHigher slots in use by higher tiers
     */
    double slotsToLeave(Tier tier, int runningHigher, long nowMs) {
        if (deviations < 0) {
            return 0;
        }
        decay(nowMs);
        double needed = 0;
        for (Map.Entry<Tier, Double> entry : offeredMs.entrySet()) {
            if (entry.getKey().outranks(tier)) {
                needed += entry.getValue() / TIME_CONSTANT_MS;
            }
        }
        return Math.max(0, needed + deviations * Math.sqrt(needed) - runningHigher);
    }

    private void decay(long nowMs) {
        if (nowMs > decayedMs) {
            double factor = Math.exp((decayedMs - nowMs) / TIME_CONSTANT_MS);
            offeredMs.replaceAll((tier, sum) -> sum * factor);
            decayedMs = nowMs;
        }
    }
}
