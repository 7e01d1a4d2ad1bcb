package org.cranberrybend.core.lease;

import org.cranberrybend.core.routing.Market;

/**
 * Record of an upstream order, written before the order is sent.
 *
 * @param orderId identifier of the order, never reused
 * @param zone availability zone
 * @param fencingNumber fencing number of the lease under which the intent was recorded
 * @param action start or stop
 * @param market market of the upstream
 * @param model name of the model or plain service
 * @param upstreamId upstream to stop; empty for a start
 * @param state state of the order
 */
public record OrderIntent(
        String orderId,
        String zone,
        long fencingNumber,
        OrderAction action,
        Market market,
        String model,
        String upstreamId,
        OrderState state) {
    public OrderIntent {
        if (orderId.isEmpty() || zone.isEmpty()) {
            throw new IllegalArgumentException("order and zone must be named");
        }
        if (action == OrderAction.STOP && upstreamId.isEmpty()) {
            throw new IllegalArgumentException("a stop must name its upstream");
        }
    }

    /**
     * Returns this intent in the given state.
     *
     * @throws IllegalStateException if the state must not follow the current one
     */
    public OrderIntent withState(OrderState next) {
        if (!state.canChangeTo(next)) {
            throw new IllegalStateException("order " + orderId + " cannot change from " + state + " to " + next);
        }
        return new OrderIntent(orderId, zone, fencingNumber, action, market, model, upstreamId, next);
    }
}
