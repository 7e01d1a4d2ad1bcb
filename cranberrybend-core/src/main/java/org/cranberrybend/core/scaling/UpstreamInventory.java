package org.cranberrybend.core.scaling;

import java.util.List;
import org.cranberrybend.core.routing.Market;

/**
 * The upstreams of one model and market in one availability zone, as known to the holder of the order lease.
 *
 * @param market market in which they were ordered
 * @param serving identifiers of the upstreams that serve requests and are not to be released
 * @param draining identifiers of the upstreams that receive no new requests
 * @param drained those of {@code draining} without in-flight requests
 * @param pendingStarts number of start orders whose upstream does not serve yet, including orders without a response
 * @param unavailable whether the platform currently has no upstreams of this market
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

    /** Returns the number of upstreams that serve or are ordered. An order without a response counts as an upstream. */
    public int committed() {
        return serving.size() + pendingStarts;
    }

    /** Returns the number of upstreams that are or may be billed. */
    public int billable() {
        return committed() + draining.size();
    }
}
