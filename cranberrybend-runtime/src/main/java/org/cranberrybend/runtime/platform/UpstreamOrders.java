package org.cranberrybend.runtime.platform;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** The platform's API to order upstreams to be started or stopped. */
public interface UpstreamOrders {
    /**
     * Sends an order, without retries.
     *
     * @throws PlatformException if it was not accepted, or if its outcome is unknown; then read {@link #orders} to
     *     reconcile it
     */
    void send(String zone, UpstreamOrder order) throws PlatformException;

    /** Returns the orders accepted in a zone, oldest first. */
    List<AcceptedOrder> orders(String zone) throws PlatformException;

    /** Returns the identifiers of the orders accepted in a zone. */
    default Set<String> acceptedOrderIds(String zone) throws PlatformException {
        return orders(zone).stream().map(AcceptedOrder::orderId).collect(Collectors.toSet());
    }
}
