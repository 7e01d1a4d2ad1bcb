package org.cranberrybend.core.scaling;

import org.cranberrybend.core.routing.Market;

/**
 * Target numbers of upstreams of one model in one availability zone.
 *
 * @param guaranteed number of guaranteed upstreams, at least the number that covers tiers 0 and 1 within the zone's
 *     maximum
 * @param preemptible number of preemptible upstreams
 */
public record ScalingTarget(int guaranteed, int preemptible) {
    /** Returns the target number of a market. */
    public int count(Market market) {
        return market == Market.GUARANTEED ? guaranteed : preemptible;
    }
}
