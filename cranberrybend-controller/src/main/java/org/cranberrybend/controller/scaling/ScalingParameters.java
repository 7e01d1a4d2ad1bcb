package org.cranberrybend.controller.scaling;

import org.cranberrybend.core.scaling.ScalingSettings;

/**
 * Parameters of demand-based scaling.
 *
 * @param policy settings of the scaling policy
 * @param smoothingMs time constant of the demand estimate, in which a rate loses 63% of its weight, in milliseconds
 * @param drainLimitMs time after which a draining upstream is stopped even if it has in-flight requests, in
 *     milliseconds
 * @param orderEffectTimeoutMs time after which an order without a visible effect in the instance list counts as lost,
 *     in milliseconds
 * @param unavailableRetryMs time for which nothing is ordered from a market after the platform had no upstream
 *     available in it, in milliseconds
 * @param instanceListMaxAgeMs age of the instance list beyond which nothing is ordered, in milliseconds
 * @param defaultTokensPerSlotSecond tokens that one slot serves per second, used until a rate was measured
 * @param defaultSlotsPerUpstream slots of one upstream, used until an upstream of the model was listed
 */
public record ScalingParameters(
        ScalingSettings policy,
        long smoothingMs,
        long drainLimitMs,
        long orderEffectTimeoutMs,
        long unavailableRetryMs,
        long instanceListMaxAgeMs,
        double defaultTokensPerSlotSecond,
        int defaultSlotsPerUpstream) {
    /**
     * Default values. 25 tokens per second are one token every 40 ms, close to the inter-token target of 44 ms at the
     * design size.
     */
    public static final ScalingParameters DEFAULT =
            new ScalingParameters(ScalingSettings.DEFAULT, 30_000, 600_000, 300_000, 60_000, 30_000, 25, 8);

    public ScalingParameters {
        if (smoothingMs < 1
                || drainLimitMs < 0
                || orderEffectTimeoutMs < 0
                || unavailableRetryMs < 0
                || instanceListMaxAgeMs < 0) {
            throw new IllegalArgumentException(
                    "scaling times must not be negative, and the smoothing time must be positive");
        }
        if (!(defaultTokensPerSlotSecond > 0) || defaultSlotsPerUpstream < 1) {
            throw new IllegalArgumentException("tokens per slot second and slots per upstream must be positive: "
                    + defaultTokensPerSlotSecond + ", " + defaultSlotsPerUpstream);
        }
    }

    /** Returns these parameters with the given scale-down delay and drain limit, in milliseconds. */
    public ScalingParameters withOverrides(long downHoldMs, long newDrainLimitMs) {
        return new ScalingParameters(
                new ScalingSettings(policy.utilizationRatio(), policy.queueDrainSeconds(), downHoldMs),
                smoothingMs,
                newDrainLimitMs,
                orderEffectTimeoutMs,
                unavailableRetryMs,
                instanceListMaxAgeMs,
                defaultTokensPerSlotSecond,
                defaultSlotsPerUpstream);
    }
}
