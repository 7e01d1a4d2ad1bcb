package org.cranberrybend.entry.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.entry.configuration.ScalingBounds;
import org.cranberrybend.entry.port.UpstreamOrders.Order;

/**
 * Decides how many upstreams of one service and zone are ordered in each market.
 *
 * <p>Preemptible upstreams serve the load while the market has any. Otherwise guaranteed upstreams are ordered as
 * substitutes, at the latest when the platform announces a reclaim, and are released when preemptible ones serve again.
 * All times are readings of one monotonic clock in milliseconds.
 */
final class OrderPlanner {
    /** Time for which the preemptible market counts as unavailable after a rejected order or a reclaim notice. */
    private static final long UNAVAILABLE_MS = 3_000;
    /** Time beyond the configured start time after which an order without the expected effect is sent again. */
    private static final long START_MARGIN_MS = 2_500;

    /** Number of guaranteed upstreams that may always replace the preemptible ones of a zone. */
    private static final int MIN_SUBSTITUTE_LIMIT = 3;
    /** Share of a zone's upper bound that guaranteed upstreams may take while no preemptible ones are available. */
    private static final double MAX_SUBSTITUTE_SHARE = 0.5;

    /**
     * Listed upstreams of one service in one zone.
     *
     * @param guaranteed guaranteed upstreams that are not leaving
     * @param preemptible preemptible upstreams that are not leaving
     * @param reclaimAnnounced whether the platform has announced the reclaim of a preemptible upstream
     */
    record Listed(int guaranteed, int preemptible, boolean reclaimAnnounced) {}

    private record PlacedOrder(int count, long atMs) {}

    private final String service;
    private final String zone;
    private final Map<Market, PlacedOrder> placed = new HashMap<>();
    private long preemptibleUnavailableUntilMs = Long.MIN_VALUE / 2;

    OrderPlanner(String service, String zone) {
        this.service = service;
        this.zone = zone;
    }

    /**
     * Returns the orders that are due now.
     *
     * @param target target number of upstreams, limited by the bounds
     * @param substitutesNeeded guaranteed upstreams that the load needs if the zone has no preemptible ones
     */
    List<Order> plan(ScalingBounds bounds, int target, int substitutesNeeded, Listed listed, long nowMs) {
        int total = Math.max(bounds.min(), Math.min(bounds.max(), target));
        if (listed.reclaimAnnounced()) {
            // The platform reclaims all preemptible upstreams of a zone at once and offers none there for some time.
            preemptibleUnavailableUntilMs = nowMs + UNAVAILABLE_MS;
        }
        boolean preemptibleAvailable = bounds.preemptiblePriceRatio() > 0 && nowMs >= preemptibleUnavailableUntilMs;
        List<Order> orders = new ArrayList<>();
        if (preemptibleAvailable) {
            int guaranteed = retainedGuaranteed(bounds, total, listed);
            int preemptible = Math.min(total, bounds.max() - guaranteed);
            addIfDue(orders, Market.GUARANTEED, guaranteed, listed.guaranteed(), bounds, nowMs);
            addIfDue(orders, Market.PREEMPTIBLE, preemptible, listed.preemptible(), bounds, nowMs);
        } else {
            int maxSubstitutes = (int) Math.max(MIN_SUBSTITUTE_LIMIT, bounds.max() * MAX_SUBSTITUTE_SHARE);
            int substitutes = Math.max(bounds.min(), Math.min(total, Math.min(maxSubstitutes, substitutesNeeded)));
            int guaranteed = Math.max(0, substitutes - listed.preemptible());
            addIfDue(orders, Market.GUARANTEED, guaranteed, listed.guaranteed(), bounds, nowMs);
        }
        return orders;
    }

    /**
     * Returns how many guaranteed upstreams are retained while preemptible ones are available. Both kinds share the
     * upper bound, so guaranteed ones are released in steps, each after the preemptible ones ordered before it
     * are listed.
     */
    private int retainedGuaranteed(ScalingBounds bounds, int total, Listed listed) {
        PlacedOrder placedGuaranteed = placed.get(Market.GUARANTEED);
        int guaranteed = placedGuaranteed == null ? listed.guaranteed() : placedGuaranteed.count;
        PlacedOrder placedPreemptible = placed.get(Market.PREEMPTIBLE);
        int ordered = placedPreemptible == null ? 0 : placedPreemptible.count;
        int step = (bounds.max() + 1) / 2;
        boolean boundExhausted = guaranteed > bounds.max() - step && ordered == 0;
        boolean replaced = ordered > 0 && listed.preemptible() >= Math.min(ordered, total);
        if (boundExhausted) {
            return bounds.max() - step;
        }
        return replaced ? Math.max(0, guaranteed - step) : guaranteed;
    }

    private void addIfDue(List<Order> orders, Market market, int count, int listed, ScalingBounds bounds, long nowMs) {
        PlacedOrder last = placed.get(market);
        // The platform keeps the operator's lower bound in either market, so an order to release the last guaranteed
        // upstreams has no effect until preemptible ones run.
        boolean withoutEffect =
                last != null && listed != count && nowMs - last.atMs > bounds.startMs() + START_MARGIN_MS;
        if (last == null || last.count != count || withoutEffect) {
            orders.add(new Order(service, zone, market, count));
        }
    }

    /** Records that the platform accepted an order. */
    void recordPlaced(Order order, long nowMs) {
        placed.put(order.market(), new PlacedOrder(order.count(), nowMs));
    }

    /** Records that the platform has no upstreams in the market of the order at present. */
    void recordUnavailable(Order order, long nowMs) {
        placed.remove(order.market());
        if (order.market() == Market.PREEMPTIBLE) {
            preemptibleUnavailableUntilMs = nowMs + UNAVAILABLE_MS;
        }
    }

    /** Discards the recorded orders, because another lease holder may have sent others. */
    void reset() {
        placed.clear();
    }
}
