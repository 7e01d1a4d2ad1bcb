package org.cranberrybend.core.scaling;

/**
 * Settings of a {@link ScalingPolicy}.
 *
 * @param utilizationRatio part of an upstream's measured rate that is planned for, leaving room for bursts
 * @param queueDrainSeconds time in which waiting tokens are to be served
 * @param downHoldMs time for which fewer upstreams must suffice before one is drained, in milliseconds
 */
public record ScalingSettings(double utilizationRatio, double queueDrainSeconds, long downHoldMs) {
    /** Settings used unless the operators choose others. */
    public static final ScalingSettings DEFAULT = new ScalingSettings(0.75, 30, 300_000);

    public ScalingSettings {
        if (!(utilizationRatio > 0 && utilizationRatio <= 1) || !(queueDrainSeconds > 0) || downHoldMs < 0) {
            throw new IllegalArgumentException("utilization_ratio must be between 0 and 1, queue_drain_seconds positive"
                    + " and down_hold_ms not negative");
        }
    }
}
