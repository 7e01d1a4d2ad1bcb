package org.cranberrybend.runtime.platform;

import java.util.Set;

/** The platform's interface to order upstreams. */
public interface UpstreamOrders {
    /**
     * Sends an order once.
     *
     * @throws PlatformException if it was not accepted, or if its outcome is unknown; then read {@link #acceptedOrders}
     */
    void send(String zone, UpstreamOrder order) throws PlatformException;

    /** Returns the identifiers of the orders accepted in a zone. */
    Set<String> acceptedOrders(String zone) throws PlatformException;
}
