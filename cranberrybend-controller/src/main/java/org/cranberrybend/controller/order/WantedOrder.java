package org.cranberrybend.controller.order;

import org.cranberrybend.core.lease.OrderAction;
import org.cranberrybend.core.routing.Market;

/**
 * An order that should be sent.
 *
 * @param action start or stop
 * @param market terms under which the upstream runs
 * @param model model or plain service
 * @param upstreamId upstream to stop; empty for a start
 * @param checksFencing whether the operators declared that the receiver refuses stale fencing numbers
 */
public record WantedOrder(OrderAction action, Market market, String model, String upstreamId, boolean checksFencing) {}
