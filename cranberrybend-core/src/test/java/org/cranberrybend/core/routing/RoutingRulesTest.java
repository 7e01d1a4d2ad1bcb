package org.cranberrybend.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RoutingRulesTest {
    private static final Map<String, String> REGIONS =
            Map.of("szeged-a", "alfold", "debrecen-a", "alfold", "gyor-a", "dunantul");

    private static Upstream engine(String id, boolean leaving) {
        return new Upstream(
                id,
                "szeged-a",
                "alfold",
                "127.0.0.1",
                9_000,
                UpstreamKind.ENGINE,
                Set.of("stub"),
                8,
                Market.GUARANTEED,
                true,
                leaving);
    }

    private static UpstreamLoad measured(String id, double tokenMs) {
        UpstreamLoad load = new UpstreamLoad(engine(id, false), 0);
        load.recordSuccess(100, 101, 100, 100 + Math.round(100 * tokenMs), Double.NaN, 1_000, 0);
        return load;
    }

    // The billed inter-region link must not be used while a zone of the own region can serve, or beyond its budget.
    @ParameterizedTest
    @CsvSource({
        "szeged-a, alfold, 1000, 1000, szeged-a debrecen-a gyor-a",
        "szeged-a, alfold, 1000, 1001, szeged-a debrecen-a",
        "gyor-a, dunantul, 1000, 1001, gyor-a",
        "debrecen-a, alfold, 0, 1, debrecen-a szeged-a",
    })
    void orderOfZones(String zone, String region, long budgetBytes, long bytes, String expected) {
        ZonePreference preference = new ZonePreference(zone, region, new LinkBudget(10, budgetBytes, 0));
        assertThat(preference.order(REGIONS, bytes, 0))
                .containsExactlyElementsIn(expected.split(" "))
                .inOrder();
    }

    // The budget must not refill beyond its burst, and an overdraft must be refilled first.
    @ParameterizedTest
    @CsvSource({"600, 0, 0, 400", "600, 0, 10000, 1000", "600, 600, 0, -200", "600, 600, 3000, 100", "0, 0, 99000, 1000"
    })
    void linkBudget(long takenBytes, long overdrawnBytes, long afterMs, long allowedBytes) {
        LinkBudget budget = new LinkBudget(100, 1_000, 0);
        budget.tryAcquire(takenBytes, 0);
        budget.adjust(overdrawnBytes, 0);
        assertThat(budget.allows(allowedBytes, afterMs)).isTrue();
        assertThat(budget.allows(allowedBytes + 1, afterMs)).isFalse();
    }

    // A failed engine must not attract requests by failing fast,
    // and must not receive its full load at once when it has recovered.
    @Test
    void circuitOpensProbesAndStartsSlowly() {
        UpstreamLoad load = new UpstreamLoad(engine("a", false), 0);
        for (int failure = 0; failure < 3; failure++) {
            load.acquireSlot(10, 0);
            load.releaseSlot();
            load.recordFailure(0);
        }
        assertThat(load.freeSlots(999)).isEqualTo(0);
        assertThat(load.freeSlots(1_000)).isEqualTo(1);
        load.acquireSlot(10, 1_000);
        assertThat(load.freeSlots(1_001)).isEqualTo(0);
        load.releaseSlot();
        load.recordSuccess(10, 10, 10, 100, Double.NaN, 1_000, 1_100);
        assertThat(load.freeSlots(1_100)).isEqualTo(1);
        assertThat(load.freeSlots(6_100)).isGreaterThan(1);
        assertThat(load.freeSlots(6_100)).isLessThan(7);
        assertThat(load.freeSlots(11_100)).isGreaterThan(4);
    }

    // An upstream that rejected a request because it is leaving must not receive new ones while the lagging instance
    // list still shows it as live.
    @Test
    void leavingIsNotUndoneByAnOlderList() {
        ShardUpstreamSelector selector = new ShardUpstreamSelector();
        selector.setUpstreams(List.of(engine("a", false)), id -> 0);
        selector.load("a").orElseThrow().markLeaving();
        selector.setUpstreams(List.of(engine("a", false)), id -> 0);
        assertThat(selector.hasEligible(Set.of())).isFalse();
        assertThat(selector.select(1, 1, Set.of(), "", 0)).isEmpty();
    }

    // The concurrency limit must decrease while the engine is overloaded.
    @ParameterizedTest
    @CsvSource({"20, 100, 8", "45, 100, 8", "55, 100, 7", "30, 25, 7"})
    void limitFollowsMeasuredLatency(double tokenMs, double targetMs, int expectedSlots) {
        UpstreamLoad load = measured("a", 20);
        load.acquireSlot(10, 0);
        load.releaseSlot();
        load.recordSuccess(100, 101, 100, 100 + Math.round(100 * tokenMs), 100, targetMs, 100_000);
        assertThat(load.limit(100_000)).isEqualTo(expectedSlots);
    }

    // A slow engine must receive fewer requests than a fast one, but some once the fast one is much fuller.
    @Test
    void fasterEngineIsChosenUntilItIsMuchFuller() {
        ShardUpstreamSelector selector = new ShardUpstreamSelector();
        selector.setUpstreams(List.of(engine("fast", false), engine("slow", false)), id -> 0);
        for (int sample = 0; sample < 20; sample++) {
            selector.load("fast").orElseThrow().recordSuccess(100, 101, 100, 2_100, 100, 1_000, 0);
            selector.load("slow").orElseThrow().recordSuccess(100, 101, 200, 4_200, 200, 1_000, 0);
        }
        int slow = 0;
        for (int request = 0; request < 12; request++) {
            UpstreamLoad chosen = selector.select(0, 100, Set.of(), "", 0).orElseThrow();
            chosen.acquireSlot(0, 0);
            slow += chosen.upstream().id().equals("slow") ? 1 : 0;
            assertThat(request > 0 || slow == 0).isTrue();
        }
        assertThat(slow).isGreaterThan(1);
        assertThat(slow).isLessThan(6);
    }
}
