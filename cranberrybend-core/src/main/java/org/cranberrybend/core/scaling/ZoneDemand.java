package org.cranberrybend.core.scaling;

import org.cranberrybend.core.configuration.ZonePolicy;

/**
 * Demand for one model in one availability zone, and the upstreams that serve it.
 *
 * @param zone availability zone
 * @param policy limits set by the operators for the zone
 * @param demand demand in the zone
 * @param tokensPerSecond measured rate of one upstream within the latency targets, in tokens per second
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
