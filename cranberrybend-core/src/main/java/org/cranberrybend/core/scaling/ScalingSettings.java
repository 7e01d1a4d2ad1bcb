package org.cranberrybend.core.scaling;

/**
 * Settings of a {@link ScalingPolicy}.
 *
 * @param utilizationRatio target utilization of an upstream's measured rate; the rest is headroom for bursts
 * @param queueDrainSeconds time in which the queue is to be emptied, in seconds
 * @param downHoldMs scale-down delay: time for which fewer upstreams must suffice before one is drained, in
 *     milliseconds
 */
public record ScalingSettings(double utilizationRatio, double queueDrainSeconds, long downHoldMs) {
    /** Default settings. */
    public static final ScalingSettings DEFAULT = new ScalingSettings(0.75, 30, 300_000);

    public ScalingSettings {
        if (!(utilizationRatio > 0 && utilizationRatio <= 1) || !(queueDrainSeconds > 0) || downHoldMs < 0) {
            throw new IllegalArgumentException("utilization_ratio must be between 0 and 1, queue_drain_seconds positive"
                    + " and down_hold_ms not negative");
        }
    }
}
