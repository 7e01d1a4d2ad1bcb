package org.cranberrybend.controller.scaling;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cranberrybend.controller.testing.FixedMembers;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.wire.generated.DemandReport;
import org.cranberrybend.wire.generated.PoolDemand;
import org.cranberrybend.wire.generated.TierDemand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class DemandCollectorTest {
    private static final String ZONE = "szeged-a";
    private static final List<Member> ROUTERS = List.of(
            FixedMembers.member("r0", "router", ZONE, MemberState.ALIVE),
            FixedMembers.member("r1", "router", ZONE, MemberState.LEAVING));

    private final DemandCollector collector = new DemandCollector(ZONE, 1);

    /** A report received at {@code atMs}. The members list incarnation 1 of both routers. */
    private record Arrival(String router, long incarnation, long sequence, long atMs, long offeredTokens) {}

    private static Arrival arrival(String router, long sequence, long atMs, long offeredTokens) {
        return new Arrival(router, 1, sequence, atMs, offeredTokens);
    }

    private void receive(Arrival arrival) {
        TierDemand tier = TierDemand.newBuilder()
                .setTier(1)
                .setOfferedTokens(arrival.offeredTokens())
                .build();
        DemandReport report = DemandReport.newBuilder()
                .setSequence(arrival.sequence())
                .setDrainFencingNumber(1)
                .setDrainVersion(arrival.sequence())
                .addPools(PoolDemand.newBuilder().setService("m").addTiers(tier))
                .build();
        collector.receive(arrival.router() + "/router", arrival.incarnation(), report, arrival.atMs());
    }

    static Stream<Arguments> arrivals() {
        Arrival first0 = arrival("r0", 1, 0, 1_000);
        Arrival first1 = arrival("r1", 1, 0, 500);
        Arrival second1 = arrival("r1", 3, 2_000, 700);
        return Stream.of(
                Arguments.of("sum over routers", List.of(first0, first1, arrival("r0", 3, 2_000, 1_400), second1), 300),
                Arguments.of("lost reports", List.of(first0, first1, arrival("r0", 9, 2_000, 1_400), second1), 300),
                Arguments.of(
                        "duplicate and older reports",
                        List.of(first0, first1, arrival("r0", 3, 2_000, 1_400), second1, first0, first0, first1),
                        300),
                Arguments.of(
                        "counters of a restarted router start at zero",
                        List.of(
                                first0,
                                first1,
                                new Arrival("r0", 2, 1, 1_000, 50),
                                new Arrival("r0", 2, 2, 2_000, 250),
                                second1),
                        300),
                Arguments.of(
                        "report of an earlier incarnation",
                        List.of(
                                new Arrival("r0", 2, 1, 0, 0),
                                new Arrival("r0", 2, 2, 2_000, 400),
                                first0,
                                first1,
                                second1),
                        300));
    }

    // Guards against demand that is counted twice, negatively or not at all when reports are lost or duplicated.
    @ParameterizedTest(name = "{0}")
    @MethodSource("arrivals")
    void offeredTokensPerSecond(String name, List<Arrival> arrivals, double expected) {
        arrivals.stream().filter(each -> each.atMs() == 0).forEach(this::receive);
        collector.observe(ROUTERS, 0);
        arrivals.stream().filter(each -> each.atMs() > 0).forEach(this::receive);
        arrivals.stream().filter(each -> each.atMs() == 0).forEach(this::receive);
        collector.observe(ROUTERS, 2_000);

        assertThat(collector.pool("m").estimate().totalTokensPerSecond())
                .isWithin(1)
                .of(expected);
    }

    // Guards against stop orders based on partial demand, and against a demand estimate that falls because a router
    // does not report.
    @Test
    void demandIsKnownOnceEveryLiveRouterReported() {
        receive(arrival("r0", 1, 0, 0));
        collector.observe(ROUTERS, 0);
        assertThat(collector.isDemandKnown()).isFalse();

        receive(arrival("r1", 1, 0, 0));
        receive(arrival("r0", 2, 1_000, 800));
        receive(arrival("r1", 2, 1_000, 800));
        collector.observe(ROUTERS, 1_000);
        assertThat(collector.isComplete(ROUTERS, 1_000)).isTrue();

        receive(arrival("r1", 3, 7_000, 800));
        collector.observe(ROUTERS, 7_000);
        assertThat(collector.isDemandKnown()).isTrue();
        assertThat(collector.isComplete(ROUTERS, 7_000)).isFalse();
        assertThat(collector.pool("m").estimate().totalTokensPerSecond()).isAtLeast(1_600);
        collector.observe(ROUTERS.subList(1, 2), 8_000);
        assertThat(collector.pool("m").estimate().totalTokensPerSecond()).isLessThan(1);

        collector.reset();
        collector.observe(ROUTERS, 8_000);
        assertThat(collector.isDemandKnown()).isFalse();
    }

    // Guards against a report about an earlier drain that is mistaken for one about the current drain of the upstream.
    @Test
    void onlyReportsOfTheCurrentDrainCount() {
        DrainState state = new DrainState(1, 2, Map.of("e", new DrainState.Drain(0, 2)));
        receive(arrival("r0", 2, 0, 0));
        receive(arrival("r1", 1, 0, 0));
        collector.observe(ROUTERS, 0);
        assertThat(collector.isDrained("e", state, ROUTERS, 0)).isFalse();

        receive(arrival("r1", 2, 0, 0));
        assertThat(collector.isDrained("e", state, ROUTERS, 0)).isTrue();
        assertThat(collector.isDrained("e", new DrainState(2, 2, state.drains()), ROUTERS, 0))
                .isFalse();
        assertThat(collector.isDrained("e", state, ROUTERS, DemandCollector.REPORT_TIMEOUT_MS + 1))
                .isFalse();
    }
}
