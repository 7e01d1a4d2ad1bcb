package org.cranberrybend.core.configuration;

/**
 * Operators' settings for one availability zone.
 *
 * @param guaranteedUpstreamsMin least count of guaranteed upstreams per model
 * @param upstreamsMax largest count of upstreams per model
 * @param preemptibleRatioMax largest part of the upstreams of a model that may be preemptible
 */
public record ZonePolicy(int guaranteedUpstreamsMin, int upstreamsMax, double preemptibleRatioMax) {
    public ZonePolicy {
        if (guaranteedUpstreamsMin < 0 || upstreamsMax < guaranteedUpstreamsMin) {
            throw new IllegalArgumentException("upstreams_max must be at least guaranteed_upstreams_min, which must"
                    + " not be negative: " + upstreamsMax + ", " + guaranteedUpstreamsMin);
        }
        if (!(preemptibleRatioMax >= 0 && preemptibleRatioMax <= 1)) {
            throw new IllegalArgumentException("preemptible_ratio_max must be between 0 and 1: " + preemptibleRatioMax);
        }
    }
}
