package org.cranberrybend.core.admission;

import java.util.EnumMap;
import java.util.Map;
import org.cranberrybend.core.account.Tier;

/**
 * Reserves free slots for requests of higher tiers that have not arrived yet.
 *
 * <p>Without a reserve, every slot that becomes free while no higher tier waits goes to a long request of a lower tier,
 * and a burst of short requests of a higher tier finds no free slot. The mean number of slots that a tier needs is its
 * arrival rate times its service time (Little's law). Its square root, the standard deviation of a Poisson-distributed
 * count, is added a configured number of times.
 *
 * <p>Edge cases: nothing is reserved before service times are measured. Refused requests count as demand, because they
 * would have needed a slot. Guaranteed slots are not subject to the reserve, so that no class starves.
 */
final class TierReserve {
    private static final double TIME_CONSTANT_MS = 5_000;

    private final double deviations;
    /** Exponentially decayed sum of offered service times by tier; the quotient by the time constant is a slot count. */
    private final Map<Tier, Double> offeredMs = new EnumMap<>(Tier.class);

    private long lastDecayMs;

    /** Creates a reserve with the given number of standard deviations above the mean; negative for no reserve. */
    TierReserve(double deviations) {
        this.deviations = deviations;
    }

    /** Records an offered request with its expected service time in milliseconds. */
    void recordArrival(Tier tier, double serviceMs, long nowMs) {
        decay(nowMs);
        offeredMs.merge(tier, serviceMs, Double::sum);
    }

    /**
     * Returns how many free slots are reserved for the tiers above the given one.
     *
     * @param runningHigher slots in use by higher tiers
     */
    double reservedSlots(Tier tier, int runningHigher, long nowMs) {
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
        if (nowMs > lastDecayMs) {
            double factor = Math.exp((lastDecayMs - nowMs) / TIME_CONSTANT_MS);
            offeredMs.replaceAll((tier, sum) -> sum * factor);
            lastDecayMs = nowMs;
        }
    }
}
