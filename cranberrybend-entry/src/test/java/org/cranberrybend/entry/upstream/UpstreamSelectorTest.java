package org.cranberrybend.entry.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cranberrybend.core.engine.EngineEstimator;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.entry.configuration.LatencyClass;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.TestClock;
import org.cranberrybend.entry.testing.Upstreams;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class UpstreamSelectorTest {
    private static final Map<String, String> REGIONS =
            Map.of("zone-a", "region-1", "zone-b", "region-1", "zone-c", "region-2");
    private static final String SERVICE = "model";

    private final TestClock clock = new TestClock();
    private final UpstreamTable table = new UpstreamTable(
            "upstreams/",
            (id, value) -> new UpstreamRecord(
                    id,
                    SERVICE,
                    new InetSocketAddress("127.0.0.1", 9),
                    new String(value),
                    6,
                    false,
                    Market.GUARANTEED,
                    1,
                    0),
            Connectors.on(null),
            clock,
            new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream()));
    private final UpstreamEligibility eligibility = new UpstreamEligibility(
            REGIONS,
            new ZoneEvacuations(new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream())),
            Upstreams.unlimited());
    private final UpstreamSelector selector = new UpstreamSelector(table, eligibility, "zone-a", REGIONS);
    private final UpstreamSelector selectorOfOtherZone = new UpstreamSelector(table, eligibility, "zone-b", REGIONS);

    @BeforeEach
    void listUpstreams() {
        List<StoreItem> items = new ArrayList<>();
        for (String zone : List.of("zone-a", "zone-b", "zone-c")) {
            for (int i = 0; i < 4; i++) {
                items.add(new StoreItem("upstreams/" + zone + "-" + i, zone.getBytes(), 1, 1, 0));
            }
        }
        table.onSnapshot(new StoreSnapshot(items, 1), 0);
    }

    private static Prompt prompt(String key, int sharedPrefixTokens) {
        return key.isEmpty()
                ? Prompt.NONE
                : Prompt.of("work", List.of(new Prompt.Part(key, sharedPrefixTokens), new Prompt.Part("unique", 100)));
    }

    private UpstreamQuery query(Prompt prompt, LatencyClass latencyClass) {
        return new UpstreamQuery(
                SERVICE, prompt, latencyClass, 1_000, 200, RegionConstraint.NONE, Set.of(), clock.monotonicMs());
    }

    private String choose(UpstreamSelector from, String promptKey, LatencyClass latencyClass) {
        return from.choose(query(prompt(promptKey, 300), latencyClass))
                .get()
                .entry()
                .id();
    }

    private void load(String id, int requests) {
        for (int i = 0; i < requests; i++) {
            table.find(id).get().begin(0);
        }
    }

    // Guards against the prefill of the same prompt on several engines of a region.
    @Test
    void instancesOfARegionChooseTheSameEngineForAPrompt() {
        for (int i = 0; i < 50; i++) {
            assertThat(choose(selector, "prompt-" + i, LatencyClass.TOLERANT))
                    .isEqualTo(choose(selectorOfOtherZone, "prompt-" + i, LatencyClass.TOLERANT));
        }
    }

    // Guards against long prompts on the engines of latency-sensitive streams.
    @Test
    void latencySensitiveAndTolerantRequestsUseDifferentEngines() {
        Set<String> sensitive = new HashSet<>();
        Set<String> tolerant = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            sensitive.add(choose(selector, "prompt-" + i, LatencyClass.SENSITIVE));
            tolerant.add(choose(selector, "prompt-" + i, LatencyClass.TOLERANT));
        }
        assertThat(sensitive.size()).isAtLeast(2);
        assertThat(tolerant.size()).isAtLeast(3);
        sensitive.retainAll(tolerant);
        assertThat(sensitive).isEmpty();
    }

    // Similar targets on all routes: guards against a part of the engines that serves everything while the others idle.
    @Test
    void uniformRequestsUseAllEnginesOfTheRegion() {
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            chosen.add(choose(selector, "prompt-" + i, LatencyClass.UNIFORM));
        }
        assertThat(chosen).hasSize(8);
    }

    // Guards against traffic between regions while engines of the instance's region have capacity.
    @Test
    void enginesOfTheSameRegionArePreferred() {
        for (int i = 0; i < 50; i++) {
            assertThat(choose(selector, "prompt-" + i, LatencyClass.values()[i % 3]))
                    .doesNotContain("zone-c");
        }
    }

    // Guards against the prefill of a long shared prefix in each region.
    @ParameterizedTest
    @EnumSource(names = {"TOLERANT", "UNIFORM"})
    void longSharedPrefixHasOneEngineForAllRegions(LatencyClass latencyClass) {
        UpstreamSelector remote = new UpstreamSelector(table, eligibility, "zone-c", REGIONS);
        for (int i = 0; i < 50; i++) {
            Prompt prompt = prompt("prompt-" + i, 13_000);
            String chosenHere =
                    selector.choose(query(prompt, latencyClass)).get().entry().id();
            String chosenInOtherRegion =
                    remote.choose(query(prompt, latencyClass)).get().entry().id();
            assertThat(chosenInOtherRegion).isEqualTo(chosenHere);
        }
    }

    // Guards against requests accumulating at one engine while others of its region have few.
    @Test
    void promptsOfALoadedEngineGoToAnotherOne() {
        String preferred = choose(selector, "prompt", LatencyClass.SENSITIVE);
        load(preferred, 30);
        assertThat(choose(selector, "prompt", LatencyClass.SENSITIVE)).isNotEqualTo(preferred);
    }

    // Guards against requests queueing in one region while another one is idle.
    @Test
    void requestsOfAnOverloadedRegionGoToTheOtherRegion() {
        table.all().stream()
                .filter(each -> !each.entry().zone().equals("zone-c"))
                .forEach(each -> load(each.entry().id(), 45));
        assertThat(choose(selector, "prompt", LatencyClass.SENSITIVE)).contains("zone-c");
    }

    // An overload of all regions: guards against requests that cross the link between regions without gain, and
    // fill it, so that configurations and aborts of requests are late.
    @ParameterizedTest
    @EnumSource(LatencyClass.class)
    void requestsStayInTheirRegionIfAllRegionsAreOverloaded(LatencyClass latencyClass) {
        table.all()
                .forEach(
                        each -> each.mergeLoadReport(new LoadReport(each.entry().id(), 45, 0), clock.monotonicMs()));
        for (int i = 0; i < 50; i++) {
            assertThat(choose(selector, "prompt-" + i, latencyClass)).doesNotContain("zone-c");
        }
    }

    // Guards against loading the upstreams of the instance's zone further while those of another zone are idle.
    @Test
    void plainRequestsStayInTheZoneUntilItsUpstreamsAreBusy() {
        assertThat(choose(selector, "", LatencyClass.UNIFORM)).contains("zone-a");
        for (int i = 0; i < 4; i++) {
            load("zone-a-" + i, 2);
        }
        assertThat(choose(selector, "", LatencyClass.UNIFORM)).contains("zone-b");
    }

    // Guards against refusing requests because all upstreams are ejected.
    @Test
    void oneIsChosenEvenIfAllAreEjected() {
        table.all().forEach(each -> {
            for (int i = 0; i < 3; i++) {
                each.recordFailure(clock.monotonicMs());
            }
        });
        assertThat(selector.choose(query(Prompt.NONE, LatencyClass.UNIFORM))).isPresent();
    }

    // Guards against instances that all choose the same upstream by the same reports.
    @Test
    void instancesWithTheSameReportsChooseDifferentUpstreams() {
        table.all()
                .forEach(
                        each -> each.mergeLoadReport(new LoadReport(each.entry().id(), 3, 200), clock.monotonicMs()));
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            UpstreamSelector other =
                    new UpstreamSelector(table, eligibility, "zone-a", REGIONS, () -> 40, new SplittableRandom(i));
            chosen.add(choose(other, "", LatencyClass.UNIFORM));
        }
        assertThat(chosen).containsAtLeast("zone-a-0", "zone-a-1", "zone-a-2", "zone-a-3");
        assertThat(String.join(",", chosen)).doesNotContain("zone-c");
    }

    // Guards against a request that misses its targets at a slow engine while the next one in its order would keep
    // them, and against instances that prefill a prefix elsewhere although all engines are alike.
    @Test
    void slowEngineIsPassedOverOnceItsSpeedIsKnown() {
        table.all().forEach(each -> observe(each, 5));
        String first = choose(selector, "prompt", LatencyClass.UNIFORM);
        assertThat(choose(selectorOfOtherZone, "prompt", LatencyClass.UNIFORM)).isEqualTo(first);
        observe(table.find(first).get(), 150);
        assertThat(choose(selector, "prompt", LatencyClass.UNIFORM)).isNotEqualTo(first);
    }

    private void observe(Upstream engine, double eventMs) {
        EngineEstimator estimator = engine.engine().estimator();
        for (int i = 0; i < 20; i++) {
            estimator.recordFirstEvent(300 + 200 * i, 20 * eventMs, false, clock.monotonicMs());
            estimator.recordEvents(1, eventMs, 2 * eventMs, clock.monotonicMs());
        }
    }
}
