package org.cranberrybend.core.scaling;

import java.util.List;
import org.cranberrybend.core.routing.Market;

/**
 * The upstreams of one model and market in one availability zone, as the holder of the order lease knows them.
 *
 * @param market terms under which they run
 * @param serving names of the upstreams that serve and are not to be released
 * @param draining names of the upstreams that receive no new requests
 * @param drained those of {@code draining} that have no request in flight
 * @param pendingStarts start orders that have not shown up as a serving upstream, including those without a response
 * @param unavailable whether the platform said that it has none of this market at present
 */
public record UpstreamInventory(
        Market market,
        List<String> serving,
        List<String> draining,
        List<String> drained,
        int pendingStarts,
        boolean unavailable) {
    public UpstreamInventory {
        serving = List.copyOf(serving);
        draining = List.copyOf(draining);
        drained = List.copyOf(drained);
        if (pendingStarts < 0 || !draining.containsAll(drained)) {
            throw new IllegalArgumentException(
                    "pending starts must not be negative, and drained upstreams must be among the draining ones");
        }
    }

    /** Returns the upstreams that serve or are ordered; an order without a response counts as running. */
    public int committed() {
        return serving.size() + pendingStarts;
    }

    /** Returns all upstreams that the zone is charged for or may be. */
    public int billable() {
        return committed() + draining.size();
    }
}
