package org.cranberrybend.core.lease;

import org.cranberrybend.core.routing.Market;

/**
 * An upstream order as recorded before it is sent.
 *
 * @param orderId identifier of the order, never used for a second one
 * @param zone availability zone
 * @param fencingNumber fencing number of the lease under which it was recorded
 * @param action start or stop
 * @param market terms under which the upstream runs
 * @param model model or plain service
 * @param upstreamId upstream to stop; empty for a start
 * @param state how far the order came
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
     * Returns this intent in its next state.
     *
     * @throws IllegalStateException if the state may not follow the present one
     */
    public OrderIntent withState(OrderState next) {
        if (!state.mayBecome(next)) {
            throw new IllegalStateException("order " + orderId + " cannot change from " + state + " to " + next);
        }
        return new OrderIntent(orderId, zone, fencingNumber, action, market, model, upstreamId, next);
    }
}
