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
 * <p>Preemptible upstreams carry the load while they are to be had. Guaranteed ones are ordered for what is missing, at
 * the latest when the platform announces that it takes the others away, and given back when the preemptible ones serve
 * again. All times are readings of one monotonic clock in milliseconds.
 */
final class OrderPlanner {
    /** Time after a refusal for which a market is taken as unavailable. */
    private static final long UNAVAILABLE_MS = 3_000;
    /** Time beyond the announced start after which an ordered upstream that is not listed does not come. */
    private static final long START_SLACK_MS = 2_500;

    /** Guaranteed upstreams that may in any case replace the preemptible ones of a zone. */
    private static final int MIN_SUBSTITUTE_BOUND = 3;
    /** Largest share of a zone's bound that guaranteed upstreams take while the preemptible ones are away. */
    private static final double MAX_SUBSTITUTE_SHARE = 0.5;

    /**
     * What is listed of one service in one zone.
     *
     * @param guaranteed guaranteed upstreams that serve
     * @param preemptible preemptible upstreams that serve
     * @param leaving whether a preemptible upstream was announced to leave
     */
    record Listed(int guaranteed, int preemptible, boolean leaving) {}

    private record Placed(int count, long atMs) {}

    private final String service;
    private final String zone;
    private final Map<Market, Placed> placed = new HashMap<>();
    private long preemptibleUnavailableUntilMs = Long.MIN_VALUE / 2;

    OrderPlanner(String service, String zone) {
        this.service = service;
        this.zone = zone;
    }

    /**
     * Returns the orders that are to be placed now.
     *
     * @param wanted wanted number of upstreams
     * @param substitutesNeeded guaranteed upstreams that the load needs if there are no preemptible ones in the zone
     */
    List<Order> plan(ScalingBounds bounds, int wanted, int substitutesNeeded, Listed listed, long nowMs) {
        int total = Math.max(bounds.min(), Math.min(bounds.max(), wanted));
        if (listed.leaving()) {
            // The platform takes all of a zone at a time and has no others there for a while.
            preemptibleUnavailableUntilMs = nowMs + UNAVAILABLE_MS;
        }
        boolean preemptibleToBeHad = bounds.preemptiblePriceRatio() > 0 && nowMs >= preemptibleUnavailableUntilMs;
        List<Order> orders = new ArrayList<>();
        if (preemptibleToBeHad) {
            int guaranteed = keptGuaranteed(bounds, total, listed);
            int preemptible = Math.min(total, bounds.max() - guaranteed);
            add(orders, Market.GUARANTEED, guaranteed, listed.guaranteed(), bounds, nowMs);
            add(orders, Market.PREEMPTIBLE, preemptible, listed.preemptible(), bounds, nowMs);
        } else {
            int most = (int) Math.max(MIN_SUBSTITUTE_BOUND, bounds.max() * MAX_SUBSTITUTE_SHARE);
            int substitutes = Math.max(bounds.min(), Math.min(total, Math.min(most, substitutesNeeded)));
            int guaranteed = Math.max(0, substitutes - listed.preemptible());
            add(orders, Market.GUARANTEED, guaranteed, listed.guaranteed(), bounds, nowMs);
        }
        return orders;
    }

    /**
     * Returns how many guaranteed upstreams stay while preemptible ones are to be had. Both kinds share the upper bound,
     * so guaranteed ones are given back in steps, each after the preemptible ones ordered before it serve.
     */
    private int keptGuaranteed(ScalingBounds bounds, int total, Listed listed) {
        Placed placedGuaranteed = placed.get(Market.GUARANTEED);
        int guaranteed = placedGuaranteed == null ? listed.guaranteed() : placedGuaranteed.count;
        Placed placedPreemptible = placed.get(Market.PREEMPTIBLE);
        int ordered = placedPreemptible == null ? 0 : placedPreemptible.count;
        int step = (bounds.max() + 1) / 2;
        boolean noRoom = guaranteed > bounds.max() - step && ordered == 0;
        boolean replaced = ordered > 0 && listed.preemptible() >= Math.min(ordered, total);
        if (noRoom) {
            return bounds.max() - step;
        }
        return replaced ? Math.max(0, guaranteed - step) : guaranteed;
    }

    private void add(List<Order> orders, Market market, int count, int listed, ScalingBounds bounds, long nowMs) {
        Placed last = placed.get(market);
        boolean missing = last != null && listed < count && nowMs - last.atMs > bounds.startMs() + START_SLACK_MS;
        if (last == null || last.count != count || missing) {
            orders.add(new Order(service, zone, market, count));
        }
    }

    /** Takes note that the platform took an order. */
    void placed(Order order, long nowMs) {
        placed.put(order.market(), new Placed(order.count(), nowMs));
    }

    /** Takes note that the platform has no upstreams of the ordered kind at the moment. */
    void unavailable(Order order, long nowMs) {
        placed.remove(order.market());
        if (order.market() == Market.PREEMPTIBLE) {
            preemptibleUnavailableUntilMs = nowMs + UNAVAILABLE_MS;
        }
    }

    /** Forgets which orders were placed, because another instance may have placed others. */
    void forget() {
        placed.clear();
    }
}
