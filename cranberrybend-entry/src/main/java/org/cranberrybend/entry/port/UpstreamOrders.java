package org.cranberrybend.entry.port;

import java.util.concurrent.CompletableFuture;
import org.cranberrybend.core.routing.Market;

/** The platform's interface for orders of upstreams. */
public interface UpstreamOrders {
    /**
     * An order that sets the number of upstreams of one service, zone and market.
     *
     * @param service service that they belong to
     * @param zone availability zone
     * @param market market in which they are ordered
     * @param count target number of upstreams
     */
    record Order(String service, String zone, Market market, int count) {}

    /** Sends an order; fails with a {@link DutyException}. */
    CompletableFuture<Void> order(DutyGrant grant, Order order);
}
