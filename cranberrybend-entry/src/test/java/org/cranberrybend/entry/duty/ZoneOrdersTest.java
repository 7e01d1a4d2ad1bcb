package org.cranberrybend.entry.duty;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.configuration.RetryRule;
import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.configuration.ScalingBounds;
import org.cranberrybend.entry.configuration.ServiceDefinition;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.UpstreamOrders.Order;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.TestClock;
import org.cranberrybend.entry.testing.Upstreams;
import org.cranberrybend.entry.upstream.Upstream;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.ZoneEvacuations;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Orders of upstreams under evacuations and region constraints. */
class ZoneOrdersTest {
    private static final Map<String, String> REGIONS = Map.of("a1", "a", "a2", "a", "b1", "b", "b2", "b");
    private static final ServiceDefinition SERVICE = new ServiceDefinition(
            "model",
            0,
            Optional.empty(),
            Optional.of(new ScalingBounds(0, 99, 1_000, 0.2, Map.of("a1", 1.0, "a2", 1.0, "b1", 1.0, "b2", 1.0))));

    private final TestClock clock = new TestClock();
    private final DecisionLog log = new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream());
    private final ZoneEvacuations evacuations = new ZoneEvacuations(log);
    private final ZoneDemand demand = new ZoneDemand(REGIONS, evacuations);

    private static RoutingConfiguration configuration(String constraint) {
        Route route = new Route(
                "r",
                "site.example",
                "/",
                RetryRule.ONCE,
                false,
                1_000,
                500,
                0,
                0,
                List.of(new Route.Target("model", 1)),
                1,
                false,
                RegionConstraint.of(constraint.isEmpty() ? List.of() : List.of(constraint)));
        ServerLimits limits = new ServerLimits(8_192, 1_000, 1_000, 1_000);
        return new RoutingConfiguration(1, List.of(route), List.of(SERVICE), Map.of(), false, limits);
    }

    private void evacuate(String zones) {
        Set<String> names = zones.isEmpty() ? Set.of() : Set.of(zones.split(" "));
        evacuations.offer(
                "test", new ZoneEvacuations.State(names, evacuations.state().revision() + 1));
    }

    // Guards against capacity of an evacuated zone that is ordered nowhere, against load that may run in one region
    // only and is divided among all, and against other orders than before where neither applies.
    // Each upstream needs 5 requests; the load is that of each upstream in region a and in region b.
    @ParameterizedTest
    @CsvSource({
        // constraint, evacuated, load in a, load in b, targets of a1, a2, b1, b2
        "'', '', 10, 10, 21, 21, 21, 21",
        "b, '', 10, 10, 21, 21, 21, 21",
        "b, '', 2, 30, 33, 33, 61, 61",
        "'', '', 2, 30, 33, 33, 33, 33",
        "'', a1, 10, 10, 0, 28, 28, 28",
        "b, b1, 10, 10, 28, 28, 0, 41",
        "'', b1, 10, 10, 28, 28, 0, 28",
        "b, b1 b2, 10, 10, 42, 42, 0, 0"
    })
    void targetFollowsRegionAndEvacuation(
            String constraint, String evacuated, int loadInA, int loadInB, int a1, int a2, int b1, int b2) {
        List<Upstream> upstreams = new ArrayList<>();
        for (String zone : REGIONS.keySet()) {
            for (int i = 0; i < 10; i++) {
                Upstream upstream = Upstreams.listed(zone + i, zone);
                upstream.reported(zone.startsWith("a") ? loadInA : loadInB, 0, clock.monotonicMs());
                upstreams.add(upstream);
            }
        }
        evacuate(evacuated);
        Map<String, Integer> expected = Map.of("a1", a1, "a2", a2, "b1", b1, "b2", b2);
        long nowMs = clock.monotonicMs();
        int needed = demand.upstreamsNeeded(SERVICE, upstreams, nowMs);
        for (String zone : REGIONS.keySet()) {
            int target = demand.mayOrder(SERVICE, zone)
                    ? demand.target(configuration(constraint), SERVICE, zone, upstreams, needed, 1, nowMs)
                    : 0;
            assertThat(zone + " " + target).isEqualTo(zone + " " + expected.get(zone));
        }
    }

    // Guards against an estimate for evacuated upstreams that report nothing any more because they are empty.
    @Test
    void evacuatedUpstreamsWithoutReportCountAsEmpty() {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            upstreams.add(Upstreams.listed("a" + i, "a1"));
            upstreams.add(Upstreams.listed("b" + i, "b1"));
            upstreams.get(2 * i + 1).reported(10, 0, clock.monotonicMs());
        }
        evacuate("a1");
        assertThat(demand.upstreamsNeeded(SERVICE, upstreams, clock.monotonicMs()))
                .isEqualTo(20);
    }

    // Guards against orders in an evacuated zone, neither more nor fewer upstreams, and against a zone for which none
    // are ordered after its return.
    @Test
    void noOrderIsPlacedInAnEvacuatedZone() {
        DutyLease lease = new DutyLease(new MemoryStore(clock), "instance", 3_000, clock, log);
        lease.tick(false);
        ConfigurationHolder configuration = new ConfigurationHolder((name, value) -> configuration(""), log);
        configuration.offer("test", new byte[0]);
        UpstreamTable table = new UpstreamTable("u/", (id, value) -> null, Connectors.on(null), clock, log);
        table.onSnapshot(new StoreSnapshot(List.of(), 1), 0);
        List<Order> orders = new ArrayList<>();
        OrderDuty duty = new OrderDuty(
                (grant, order) -> {
                    orders.add(order);
                    return CompletableFuture.completedFuture(null);
                },
                lease,
                configuration,
                table,
                REGIONS,
                evacuations,
                () -> 1,
                clock,
                log);
        evacuate("a1");
        assertThat(zonesOrdered(duty, orders)).containsExactly("a2", "b1", "b2");
        evacuate("");
        assertThat(zonesOrdered(duty, orders)).contains("a1");
        evacuate("a2 b2");
        assertThat(zonesOrdered(duty, orders)).containsExactly("a1", "b1");
    }

    /** Returns the zones of the orders that are sent until no more are due. */
    private static Set<String> zonesOrdered(OrderDuty duty, List<Order> orders) {
        orders.clear();
        for (int i = 0; i < 2 * REGIONS.size(); i++) {
            duty.tick();
        }
        Set<String> zones = new LinkedHashSet<>();
        orders.forEach(each -> zones.add(each.zone()));
        return zones;
    }
}
