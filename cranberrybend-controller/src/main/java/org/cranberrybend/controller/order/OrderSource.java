package org.cranberrybend.controller.order;

import java.util.List;
import org.cranberrybend.core.lease.OrderIntent;

/** Decides which upstreams to start and stop. Only the holder of the zone's order lease calls it. */
@FunctionalInterface
public interface OrderSource {
    /**
     * Returns the orders to send now.
     *
     * @param zone availability zone
     * @param intents recorded intents of the zone; an order that was sent but not confirmed counts as accepted
     */
    List<PlannedOrder> plannedOrders(String zone, List<OrderIntent> intents);
}
