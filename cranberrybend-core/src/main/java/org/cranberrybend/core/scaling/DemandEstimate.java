package org.cranberrybend.core.scaling;

/**
 * Smoothed demand for one model in one availability zone.
 *
 * <p>Demand is what callers offered, including what was refused: demand counted from served tokens could never exceed the
 * capacity. Edge case: the first observation is taken over unsmoothed.
 *
 * @param upperTokensPerSecond smoothed rate of tokens offered in tiers 0 and 1
 * @param totalTokensPerSecond smoothed rate of tokens offered in all tiers
 * @param upperQueuedTokens tokens that wait in tiers 0 and 1
 * @param totalQueuedTokens tokens that wait in all tiers
 */
public record DemandEstimate(
        double upperTokensPerSecond, double totalTokensPerSecond, long upperQueuedTokens, long totalQueuedTokens) {
    /** No demand was observed. */
    public static final DemandEstimate NONE = new DemandEstimate(0, 0, 0, 0);

    public DemandEstimate {
        if (!(upperTokensPerSecond >= 0 && totalTokensPerSecond >= upperTokensPerSecond)) {
            throw new IllegalArgumentException(
                    "demand of all tiers must be at least that of the upper tiers, which must" + " not be negative: "
                            + totalTokensPerSecond + ", " + upperTokensPerSecond);
        }
        if (upperQueuedTokens < 0 || totalQueuedTokens < upperQueuedTokens) {
            throw new IllegalArgumentException("queue of all tiers must be at least that of the upper tiers, which must"
                    + " not be negative: " + totalQueuedTokens + ", " + upperQueuedTokens);
        }
    }

    /**
     * Returns the estimate after a further observation.
     *
     * @param upperTokens tokens offered in tiers 0 and 1 during the interval
     * @param totalTokens tokens offered in all tiers during the interval
     * @param newUpperQueued tokens that wait in tiers 0 and 1 at its end
     * @param newTotalQueued tokens that wait in all tiers at its end
     * @param intervalMs length of the interval in milliseconds
     * @param timeConstantMs time in which an old rate loses 63% of its weight, in milliseconds
     */
    public DemandEstimate observe(
            long upperTokens,
            long totalTokens,
            long newUpperQueued,
            long newTotalQueued,
            long intervalMs,
            long timeConstantMs) {
        double weight = equals(NONE) ? 1 : 1 - Math.exp(-intervalMs / (double) timeConstantMs);
        double upper = smooth(upperTokensPerSecond, upperTokens * 1_000.0 / intervalMs, weight);
        double total = smooth(totalTokensPerSecond, totalTokens * 1_000.0 / intervalMs, weight);
        return new DemandEstimate(upper, Math.max(upper, total), newUpperQueued, newTotalQueued);
    }

    /** Returns the rate at which tiers 0 and 1 must be served to empty their queue in the given time. */
    public double upperNeed(double queueDrainSeconds) {
        return upperTokensPerSecond + upperQueuedTokens / queueDrainSeconds;
    }

    /** Returns the rate at which all tiers must be served to empty the queue in the given time. */
    public double totalNeed(double queueDrainSeconds) {
        return totalTokensPerSecond + totalQueuedTokens / queueDrainSeconds;
    }

    private static double smooth(double oldValue, double sample, double weight) {
        return oldValue + weight * (sample - oldValue);
    }
}
