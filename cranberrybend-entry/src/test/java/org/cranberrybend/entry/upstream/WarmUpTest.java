package org.cranberrybend.entry.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cranberrybend.core.rateshare.SenderRoster;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.entry.configuration.LatencyClass;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.configuration.ServiceDefinition;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the table of upstreams and the eligibility make of warm-up times. */
class WarmUpTest {
    private static final String PREFIX = "upstreams/";
    private static final long PHASE_MS = 3_000;
    private static final int SLOTS = 8;

    private final TestClock clock = new TestClock();
    private final SenderRoster roster = new SenderRoster();
    private final DecisionLog log = new DecisionLog("own", 1, clock, new ByteArrayOutputStream());
    private final WarmUpLimiter warmUp = new WarmUpLimiter("own", roster, 1.5, 5, log);
    private final SendLimits limits = new SendLimits(warmUp);
    private final UpstreamTable table = new UpstreamTable(PREFIX, WarmUpTest::decode, Connectors.on(null), clock, log);
    private final WithheldUpstreams withheld = new WithheldUpstreams(table, limits, clock);

    /** Decodes values of the form {@code service:zone:born:remaining}. */
    private static UpstreamRecord decode(String id, byte[] value) {
        String[] parts = new String(value).split(":");
        return new UpstreamRecord(
                id,
                parts[0],
                new InetSocketAddress("127.0.0.1", 9),
                parts[1],
                SLOTS,
                false,
                Market.GUARANTEED,
                Long.parseLong(parts[2]),
                Long.parseLong(parts[3]));
    }

    private static StoreChange change(String value, long revision) {
        return new StoreChange(
                PREFIX + "u", revision, Optional.of(new StoreItem(PREFIX + "u", value.getBytes(), revision, 1, 0)));
    }

    @BeforeEach
    void configure() {
        ServiceDefinition cold = new ServiceDefinition(
                "cold",
                0,
                Optional.empty(),
                Optional.empty(),
                Optional.of(new ServiceDefinition.WarmUp(PHASE_MS, 9.5)));
        ServiceDefinition plain = new ServiceDefinition("plain", 0, Optional.empty(), Optional.empty());
        warmUp.configure(new RoutingConfiguration(
                1, List.of(), List.of(cold, plain), Map.of(), false, new ServerLimits(1, 1, 1, 1)));
    }

    private void list(String value) {
        table.onSnapshot(new StoreSnapshot(List.of(change(value, 1).item().get()), 1), 0);
    }

    private Upstream upstream() {
        return table.find("u").get();
    }

    private String exclusion() {
        UpstreamQuery query = new UpstreamQuery(
                upstream().entry().service(),
                Prompt.NONE,
                LatencyClass.UNIFORM,
                0,
                0,
                RegionConstraint.NONE,
                Set.of(),
                clock.monotonicMs());
        return new UpstreamEligibility(Map.of(), new ZoneEvacuations(log), limits)
                .exclusion(upstream(), query)
                .map(Enum::name)
                .orElse("none");
    }

    // Guards against followers that do not learn of an upstream that has become cold, and against forwarding each
    // heartbeat of one that is warming up.
    @ParameterizedTest
    @CsvSource({
        "3000, 1200, 1800, false",
        "3000, 1200, 1700, false",
        "3000, 1200, 2500, true",
        "3000, 1200, 0, false",
        "0, 60000, 0, false",
        "0, 60000, 3000, true",
        "0, 60000, -1, false"
    })
    void laterEndOfTheWarmUpIsMaterial(long knownMs, long elapsedMs, long statedMs, boolean material) {
        list("cold:z1:1:" + knownMs);
        clock.advance(elapsedMs);
        assertThat(table.isMaterialChange(change("cold:z1:1:" + statedMs, 2))).isEqualTo(material);
        // Followers may not share what this instance assumes.
        warmUp.recordRefusedConnection(upstream(), clock.monotonicMs());
        assertThat(table.isMaterialChange(change("cold:z1:1:" + statedMs, 2))).isEqualTo(material);
        assertThat(table.isMaterialChange(change("cold:z2:1:" + statedMs, 2))).isTrue();
    }

    // Guards against an upstream that is not limited after it became cold, or limited after it stated that it is warm,
    // and against a service without a warm-up phase that is affected at all.
    @ParameterizedTest
    @CsvSource({
        "cold, 3000, 2999, 1, -, WARMING_UP",
        "cold, 3000, 4000, 1, -, none",
        "cold, 0, 0, 1, -, none",
        "cold, 0, 9000, 1, 3000, WARMING_UP",
        "cold, 0, 9000, 2, 3000, WARMING_UP",
        "cold, 3000, 1000, 2, 0, none",
        "plain, 3000, 1000, 1, 2000, none"
    })
    void lastEntryDecides(
            String service, long firstMs, long elapsedMs, int startedAtMs, String secondMs, String expected) {
        list(service + ":z1:1:" + firstMs);
        clock.advance(elapsedMs);
        if (!secondMs.equals("-")) {
            table.onChange(change(service + ":z1:" + startedAtMs + ":" + secondMs, 2));
        }
        assertThat(exclusion()).isEqualTo(expected);
    }

    // Guards against all instances sending at once at the end of the warm-up, and against one that never begins.
    @Test
    void requestsRiseOverARampAfterTheWarmUp() {
        roster.confirm(Set.of("own"), clock.monotonicMs());
        list("cold:z1:1:3000");
        clock.advance(PHASE_MS);
        assertThat(exclusion()).isEqualTo("none");
        upstream().begin(0);
        assertThat(exclusion()).isEqualTo("WARMING_UP");
        clock.advance(WarmUpLimiter.RAMP_MS / 2);
        assertThat(exclusion()).isEqualTo("none");
        for (int i = 0; i < SLOTS / 2; i++) {
            upstream().begin(0);
        }
        assertThat(exclusion()).isEqualTo("WARMING_UP");
        clock.advance(WarmUpLimiter.RAMP_MS / 2);
        assertThat(exclusion()).isEqualTo("none");
    }

    // Guards against a rush to the upstreams of a zone that returns to service, unless they have said that they are
    // warm after that, and against limiting those of other zones and services.
    @ParameterizedTest
    @CsvSource({
        "cold, z1, 5, -1, 2999, WARMING_UP",
        "cold, z1, 5, -1, 4000, none",
        "cold, z1, 5, 5, 1500, WARMING_UP",
        "cold, z1, 5, 6, 1500, none",
        "cold, z1, 0, -1, 0, none",
        "cold, z2, 5, -1, 0, none",
        "plain, z1, 5, -1, 0, none"
    })
    void upstreamsAreColdAfterAnEvacuation(
            String service, String zone, long endRevision, long nextRevision, long elapsedMs, String expected) {
        list(service + ":" + zone + ":1:0");
        table.markWarmingUp("z1", endRevision, warmUp);
        if (nextRevision >= 0) {
            table.onChange(change(service + ":" + zone + ":1:0", nextRevision));
        }
        clock.advance(elapsedMs);
        assertThat(exclusion()).isEqualTo(expected);
    }

    // Guards against requests to a process that has started again at the same address before its entry says so, and
    // against a heartbeat of the process before that ends the limit.
    @ParameterizedTest
    @CsvSource({
        "cold, -1, 2999, WARMING_UP",
        "cold, 1, 2999, WARMING_UP",
        "cold, 2, 2999, none",
        "cold, -1, 4000, none",
        "plain, -1, 0, none"
    })
    void refusedConnectionMeansThatTheNextProcessIsCold(
            String service, int startedAtMs, long elapsedMs, String expected) {
        list(service + ":z1:1:0");
        warmUp.recordRefusedConnection(upstream(), clock.monotonicMs());
        if (startedAtMs >= 0) {
            table.onChange(change(service + ":z1:" + startedAtMs + ":0", 100));
        }
        clock.advance(elapsedMs);
        assertThat(exclusion()).isEqualTo(expected);
    }

    // Guards against a ramp that begins again with each entry that is received after the assumed warm-up.
    @Test
    void assumedWarmUpEndsOnce() {
        list("cold:z1:1:0");
        table.markWarmingUp("z1", 5, warmUp);
        clock.advance(PHASE_MS + WarmUpLimiter.RAMP_MS);
        table.onChange(change("cold:z1:1:0", 5));
        upstream().begin(0);
        assertThat(exclusion()).isEqualTo("none");
    }

    // Guards against an untrue time in a refusal, and against a wait although an upstream can serve.
    @Test
    void withholdingEndsWithTheWarmUpOrTheNextSlot() {
        list("cold:z1:1:3000");
        long nowMs = clock.monotonicMs();
        assertThat(withheld.withholding("cold", each -> true))
                .isEqualTo(Optional.of(new Withholding(nowMs + PHASE_MS, true)));
        assertThat(withheld.withholding("cold", each -> false)).isEqualTo(Optional.empty());
        table.recordPause(upstream(), 10_000);
        assertThat(withheld.withholding("cold", each -> true).get().limited()).isFalse();
        assertThat(withheld.describe("cold")).isEqualTo("u paused");
        clock.advance(PHASE_MS + WarmUpLimiter.RAMP_MS);
        assertThat(withheld.limitedCount(warmUp)).isEqualTo(0);
    }
}
