package org.cranberrybend.controller.scaling;

import org.cranberrybend.core.scaling.ScalingSettings;

/**
 * Times and assumptions of the orders by demand.
 *
 * @param policy settings of the policy
 * @param smoothingMs time in which an old rate of demand loses 63% of its weight, in milliseconds
 * @param drainLimitMs time after which a draining upstream is stopped although requests still run on it, in milliseconds
 * @param orderEffectMs time within which an order must show in the list of instances; later it counts as without
 *     effect, in milliseconds
 * @param unavailableMs time for which a market is not asked again after the platform had no upstream, in milliseconds
 * @param tableMaxAgeMs age of the list of instances beyond which no order is given, in milliseconds
 * @param tokensPerSlotSecond tokens that one slot serves per second, until measured
 * @param slotsPerUpstream slots of one upstream, until one was listed
 */
public record ScalingTimes(
        ScalingSettings policy,
        long smoothingMs,
        long drainLimitMs,
        long orderEffectMs,
        long unavailableMs,
        long tableMaxAgeMs,
        double tokensPerSlotSecond,
        int slotsPerUpstream) {
    /**
     * Values used unless the settings give others. 25 tokens a second are about one token per 44 ms, the target between
     * tokens at the design size.
     */
    public static final ScalingTimes DEFAULT =
            new ScalingTimes(ScalingSettings.DEFAULT, 30_000, 600_000, 300_000, 60_000, 30_000, 25, 8);

    public ScalingTimes {
        if (smoothingMs < 1 || drainLimitMs < 0 || orderEffectMs < 0 || unavailableMs < 0 || tableMaxAgeMs < 0) {
            throw new IllegalArgumentException("times of scaling must not be negative, and smoothing positive");
        }
        if (!(tokensPerSlotSecond > 0) || slotsPerUpstream < 1) {
            throw new IllegalArgumentException("rates and slots of an upstream must be positive: " + tokensPerSlotSecond
                    + ", " + slotsPerUpstream);
        }
    }

    /** Returns these times with other bounds on hysteresis and drain, in milliseconds. */
    public ScalingTimes with(long downHoldMs, long newDrainLimitMs) {
        return new ScalingTimes(
                new ScalingSettings(policy.utilizationRatio(), policy.queueDrainSeconds(), downHoldMs),
                smoothingMs,
                newDrainLimitMs,
                orderEffectMs,
                unavailableMs,
                tableMaxAgeMs,
                tokensPerSlotSecond,
                slotsPerUpstream);
    }
}
