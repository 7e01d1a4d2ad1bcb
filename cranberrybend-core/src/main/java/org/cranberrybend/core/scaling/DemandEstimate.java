package org.cranberrybend.core.scaling;

/**
 * Smoothed demand for one model in one availability zone.
 *
 * <p>Demand is the offered load including refused requests, because demand derived from served tokens could never
 * exceed the capacity. Edge case: the first observation is not smoothed.
 *
 * @param upperTokensPerSecond smoothed rate of tokens offered in tiers 0 and 1
 * @param totalTokensPerSecond smoothed rate of tokens offered in all tiers
 * @param upperQueuedTokens tokens of waiting requests in tiers 0 and 1
 * @param totalQueuedTokens tokens of waiting requests in all tiers
 */
public record DemandEstimate(
        double upperTokensPerSecond, double totalTokensPerSecond, long upperQueuedTokens, long totalQueuedTokens) {
    /** Estimate before the first observation. */
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
     * Returns the estimate after another observation, as an exponential moving average of the rates.
     *
     * @param upperTokens tokens offered in tiers 0 and 1 during the interval
     * @param totalTokens tokens offered in all tiers during the interval
     * @param newUpperQueued tokens of waiting requests in tiers 0 and 1 at the end of the interval
     * @param newTotalQueued tokens of waiting requests in all tiers at the end of the interval
     * @param intervalMs length of the interval in milliseconds
     * @param timeConstantMs time constant of the average, after which an old rate has lost 63% of its weight, in
     *     milliseconds
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

    /** Returns the rate in tokens per second that serves tiers 0 and 1 and empties their queue in the given time. */
    public double requiredUpperRate(double queueDrainSeconds) {
        return upperTokensPerSecond + upperQueuedTokens / queueDrainSeconds;
    }

    /** Returns the rate in tokens per second that serves all tiers and empties the queue in the given time. */
    public double requiredTotalRate(double queueDrainSeconds) {
        return totalTokensPerSecond + totalQueuedTokens / queueDrainSeconds;
    }

    private static double smooth(double oldValue, double sample, double weight) {
        return oldValue + weight * (sample - oldValue);
    }
}
