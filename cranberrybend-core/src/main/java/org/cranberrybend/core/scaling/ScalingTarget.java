package org.cranberrybend.core.scaling;

import org.cranberrybend.core.routing.Market;

/**
 * Target counts of upstreams of one model in one availability zone.
 *
 * @param guaranteed guaranteed upstreams, at least the floor that covers tiers 0 and 1
 * @param preemptible preemptible upstreams
 */
public record ScalingTarget(int guaranteed, int preemptible) {
    /** Returns the target of one market. */
    public int count(Market market) {
        return market == Market.GUARANTEED ? guaranteed : preemptible;
    }
}
