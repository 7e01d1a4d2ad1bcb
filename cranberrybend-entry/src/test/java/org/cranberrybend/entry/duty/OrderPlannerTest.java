package org.cranberrybend.entry.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.entry.configuration.ScalingBounds;
import org.cranberrybend.entry.port.UpstreamOrders.Order;
import org.junit.jupiter.api.Test;

class OrderPlannerTest {
    private static final ScalingBounds BOUNDS = new ScalingBounds(1, 4, 4_000, 0.18, Map.of("zone-a", 1.0));

    private final OrderPlanner planner = new OrderPlanner("model", "zone-a");

    private List<Order> plan(int guaranteed, int preemptible, boolean leaving, long nowMs) {
        List<Order> orders =
                planner.plan(BOUNDS, 4, 3, new OrderPlanner.Listed(guaranteed, preemptible, leaving), nowMs);
        orders.forEach(order -> planner.recordPlaced(order, nowMs));
        return orders;
    }

    private static Order order(Market market, int count) {
        return new Order("model", "zone-a", market, count);
    }

    // Guards against a zone without an upstream while guaranteed ones are replaced by preemptible ones.
    @Test
    void guaranteedUpstreamsStayUntilPreemptibleOnesAreReady() {
        assertThat(plan(2, 0, false, 0)).containsExactly(order(Market.GUARANTEED, 2), order(Market.PREEMPTIBLE, 2));
        assertThat(plan(2, 1, false, 1_000)).isEmpty();
        assertThat(plan(2, 2, false, 4_000)).containsExactly(order(Market.GUARANTEED, 0), order(Market.PREEMPTIBLE, 4));
    }

    // Guards against a deadlock when guaranteed upstreams use up the whole bound.
    @Test
    void fullZoneReleasesGuaranteedInSteps() {
        assertThat(plan(4, 0, false, 0)).containsExactly(order(Market.GUARANTEED, 2), order(Market.PREEMPTIBLE, 2));
        assertThat(plan(2, 2, false, 4_000)).containsExactly(order(Market.GUARANTEED, 0), order(Market.PREEMPTIBLE, 4));
    }

    // Guards against missing capacity after a reclaim: substitutes must be ordered at the notice, not after the loss.
    @Test
    void substitutesAreOrderedAtReclaimNotice() {
        plan(0, 4, false, 0);
        assertThat(plan(0, 0, true, 1_000)).containsExactly(order(Market.GUARANTEED, 3));
    }

    // Guards against guaranteed upstreams in a zone whose load the other zones can carry.
    @Test
    void substitutesAreLimitedByLoad() {
        planner.recordUnavailable(order(Market.PREEMPTIBLE, 4), 0);
        List<Order> orders = planner.plan(BOUNDS, 4, 1, new OrderPlanner.Listed(0, 0, true), 100);
        assertThat(orders).containsExactly(order(Market.GUARANTEED, 1));
    }

    // Guards against repeated orders in a market that has just rejected one.
    @Test
    void unavailableMarketIsNotRetriedAtOnce() {
        planner.recordUnavailable(order(Market.PREEMPTIBLE, 4), 0);
        assertThat(plan(0, 0, false, 100)).containsExactly(order(Market.GUARANTEED, 3));
        assertThat(plan(3, 0, false, 2_900)).isEmpty();
        assertThat(plan(3, 0, false, 3_000).get(0).market()).isEqualTo(Market.GUARANTEED);
    }

    // Guards against an order that had no effect and is never repeated.
    @Test
    void orderWithoutEffectIsRepeated() {
        plan(0, 0, false, 0);
        assertThat(plan(0, 3, false, 6_000)).isEmpty();
        assertThat(plan(0, 3, false, 6_600)).containsExactly(order(Market.PREEMPTIBLE, 4));
    }

    // Guards against a guaranteed upstream that runs all day: the platform keeps the lower bound while no preemptible
    // upstream runs, so the first order to release it has no effect.
    @Test
    void releaseWithoutEffectIsRepeated() {
        assertThat(plan(0, 0, false, 0)).contains(order(Market.GUARANTEED, 0));
        assertThat(plan(1, 4, false, 6_000)).isEmpty();
        assertThat(plan(1, 4, false, 6_600)).containsExactly(order(Market.GUARANTEED, 0));
    }

    // Guards against orders outside the operator's bounds.
    @Test
    void ordersStayWithinTheBounds() {
        for (int guaranteed = 0; guaranteed <= 4; guaranteed++) {
            for (int preemptible = 0; preemptible <= 4 - guaranteed; preemptible++) {
                OrderPlanner fresh = new OrderPlanner("model", "zone-a");
                List<Order> orders =
                        fresh.plan(BOUNDS, 9, 9, new OrderPlanner.Listed(guaranteed, preemptible, false), 0);
                assertThat(orders.stream().mapToInt(Order::count).sum()).isAtMost(4);
            }
        }
    }
}
