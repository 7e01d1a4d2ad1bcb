package org.cranberrybend.controller.order;

import java.util.List;
import org.cranberrybend.core.lease.OrderIntent;

/** Decides which upstreams to order. Asked by the holder of the zone's lease only. */
@FunctionalInterface
public interface OrderSource {
    /**
     * Returns the orders to send now.
     *
     * @param zone availability zone
     * @param intents recorded intents of the zone; an order that is sent but not confirmed counts as running
     */
    List<WantedOrder> wantedOrders(String zone, List<OrderIntent> intents);
}
