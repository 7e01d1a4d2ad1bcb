package org.cranberrybend.core.configuration;

/**
 * Limits on the upstreams of each model in one availability zone.
 *
 * @param guaranteedUpstreamsMin minimum number of guaranteed upstreams of a model
 * @param upstreamsMax maximum number of upstreams of a model
 * @param preemptibleRatioMax maximum fraction of the upstreams of a model that are preemptible
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
