package org.cranberrybend.controller.order;

import org.cranberrybend.core.lease.OrderAction;
import org.cranberrybend.core.routing.Market;

/**
 * An order to be sent to the platform.
 *
 * @param action start or stop
 * @param market terms under which the upstream runs
 * @param model name of the model or plain service
 * @param upstreamId upstream to stop; empty for a start
 * @param checksFencing whether the operators declared that the receiver rejects stale fencing numbers
 */
public record PlannedOrder(OrderAction action, Market market, String model, String upstreamId, boolean checksFencing) {}
