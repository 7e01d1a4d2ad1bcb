package org.cranberrybend.core.scaling;

import org.cranberrybend.core.configuration.ZonePolicy;

/**
 * One availability zone's demand for a model and the upstreams that serve it.
 *
 * @param zone availability zone
 * @param policy operators' bounds for the zone
 * @param demand demand in the zone
 * @param tokensPerSecond tokens that one upstream serves per second within the targets, as measured
 * @param guaranteed guaranteed upstreams
 * @param preemptible preemptible upstreams
 */
public record ZoneDemand(
        String zone,
        ZonePolicy policy,
        DemandEstimate demand,
        double tokensPerSecond,
        UpstreamInventory guaranteed,
        UpstreamInventory preemptible) {
    public ZoneDemand {
        if (!(tokensPerSecond > 0)) {
            throw new IllegalArgumentException("tokens per second of an upstream must be positive: " + tokensPerSecond);
        }
    }
}
