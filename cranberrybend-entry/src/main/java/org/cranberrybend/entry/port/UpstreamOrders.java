package org.cranberrybend.entry.port;

import java.util.concurrent.CompletableFuture;
import org.cranberrybend.core.routing.Market;

/** The platform's interface that orders upstreams. */
public interface UpstreamOrders {
    /**
     * A wanted number of upstreams.
     *
     * @param service service that they belong to
     * @param zone availability zone
     * @param market market in which they are ordered
     * @param count wanted number
     */
    record Order(String service, String zone, Market market, int count) {}

    /** Orders a number of upstreams; fails with a {@link DutyException}. */
    CompletableFuture<Void> order(DutyGrant grant, Order order);
}
