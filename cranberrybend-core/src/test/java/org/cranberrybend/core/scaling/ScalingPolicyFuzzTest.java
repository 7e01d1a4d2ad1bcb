package org.cranberrybend.core.scaling;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cranberrybend.core.configuration.ZonePolicy;
import org.cranberrybend.core.routing.Market;

/** Stateful fuzzing of ScalingPolicy against a platform kept as plain lists. */
class ScalingPolicyFuzzTest {
    private static final String SEED = "20260803";
    private static final double TOKENS_PER_SECOND = 100;
    private static final ZonePolicy POLICY = new ZonePolicy(1, 10, 0.6);
    private static final ScalingSettings SETTINGS = new ScalingSettings(1, 30, 60_000);

    private record Step(int upperTokens, int lowerTokens, int event, int waitSeconds) {}

    @Provide
    Arbitrary<Step> steps() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 700),
                        Arbitraries.integers().between(0, 900),
                        Arbitraries.integers().between(0, 9),
                        Arbitraries.integers().between(1, 120))
                .as(Step::new);
    }

    /** Upstreams of one zone and market. */
    private static final class Fleet {
        private final Market market;
        private final List<String> serving = new ArrayList<>();
        private final List<String> draining = new ArrayList<>();
        private final List<String> drained = new ArrayList<>();
        private int pending;
        private boolean unavailable;

        Fleet(Market market) {
            this.market = market;
        }

        UpstreamInventory count() {
            return new UpstreamInventory(market, serving, draining, drained, pending, unavailable);
        }
    }

    private static final class Platform {
        private final Map<String, Map<Market, Fleet>> zones = new TreeMap<>();
        private final Map<String, DemandEstimate> demand = new TreeMap<>();
        private int nextUpstream;

        Platform() {
            for (String zone : List.of("antigua-norte", "antigua-sur", "xela-centro")) {
                zones.put(zone, new TreeMap<>());
                for (Market market : Market.values()) {
                    zones.get(zone).put(market, new Fleet(market));
                }
                demand.put(zone, DemandEstimate.NONE);
            }
        }

        List<ZoneDemand> demands() {
            List<ZoneDemand> demands = new ArrayList<>();
            zones.forEach((zone, fleets) -> demands.add(new ZoneDemand(
                    zone,
                    POLICY,
                    demand.get(zone),
                    TOKENS_PER_SECOND,
                    fleets.get(Market.GUARANTEED).count(),
                    fleets.get(Market.PREEMPTIBLE).count())));
            return demands;
        }

        void respond(Fleet fleet) {
            while (fleet.pending > 0) {
                fleet.pending--;
                fleet.serving.add(fleet.market + "-" + nextUpstream++);
            }
        }

        void apply(ScalingDecision decision, Map<String, ScalingTarget> targets) {
            Map<Market, Fleet> fleets = zones.get(decision.zone());
            ScalingTarget target = targets.get(decision.zone());
            if (decision instanceof ScalingDecision.Start start) {
                Fleet fleet = fleets.get(start.market());
                fleet.pending++;
                assertWithMessage("orders and upstreams of " + start)
                        .that(fleet.serving.size() + fleet.pending)
                        .isAtMost(target.count(start.market()));
            } else if (decision instanceof ScalingDecision.Drain drain) {
                Fleet fleet = fleets.values().stream()
                        .filter(each -> each.serving.remove(drain.upstreamId()))
                        .findFirst()
                        .orElseThrow();
                fleet.draining.add(drain.upstreamId());
                assertWithMessage("serving after " + drain)
                        .that(fleet.serving.size())
                        .isAtLeast(target.count(fleet.market));
            } else if (decision instanceof ScalingDecision.Release release) {
                Fleet fleet = fleets.values().stream()
                        .filter(each -> each.draining.remove(release.upstreamId()))
                        .findFirst()
                        .orElseThrow();
                assertWithMessage("release of an upstream that still serves")
                        .that(fleet.drained.remove(release.upstreamId()))
                        .isTrue();
            }
        }
    }

    // Guards against a second order for one need, orders beyond the bound, drains below the target or the floor, and a
    // release before the drain ended, with lost responses, reclaims and changing demand.
    @Property(tries = 200, seed = SEED)
    void keepsItsRulesUnderAnyEvents(@ForAll @Size(min = 5, max = 80) List<@From("steps") Step> steps) {
        Platform platform = new Platform();
        ScalingPolicy policy = new ScalingPolicy(SETTINGS);
        long nowMs = 0;
        for (Step step : steps) {
            nowMs += step.waitSeconds() * 1_000L;
            String zone = List.copyOf(platform.zones.keySet()).get(step.event() % 3);
            int total = step.upperTokens() + step.lowerTokens();
            platform.demand.put(zone, new DemandEstimate(step.upperTokens(), total, 0, 0));
            for (Map<Market, Fleet> fleets : platform.zones.values()) {
                for (Fleet fleet : fleets.values()) {
                    if (step.event() >= 2) {
                        platform.respond(fleet);
                        fleet.drained.clear();
                        fleet.drained.addAll(fleet.draining);
                    }
                    if (fleet.market == Market.PREEMPTIBLE && step.event() == 5) {
                        fleet.serving.clear();
                        fleet.unavailable = !fleet.unavailable;
                    }
                }
            }
            Map<String, ScalingTarget> targets = policy.targets(platform.demands());
            List<ScalingDecision> decisions = policy.decide(platform.demands(), nowMs);
            decisions.forEach(decision -> platform.apply(decision, targets));
            for (Map.Entry<String, Map<Market, Fleet>> entry : platform.zones.entrySet()) {
                int charged = entry.getValue().values().stream()
                        .mapToInt(fleet -> fleet.serving.size() + fleet.draining.size() + fleet.pending)
                        .sum();
                assertThat(charged).isAtMost(POLICY.upstreamsMax());
            }
            checkTargets(platform, targets);
        }
    }

    private static void checkTargets(Platform platform, Map<String, ScalingTarget> targets) {
        for (ZoneDemand zone : platform.demands()) {
            ScalingTarget target = targets.get(zone.zone());
            int floor = (int) Math.ceil(zone.demand().upperTokensPerSecond() / TOKENS_PER_SECOND);
            assertWithMessage("guaranteed upstreams of " + zone.zone())
                    .that(target.guaranteed())
                    .isAtLeast(Math.max(POLICY.guaranteedUpstreamsMin(), floor));
            double preemptibleRatio = target.preemptible() / (double) (target.preemptible() + target.guaranteed());
            assertThat(preemptibleRatio).isAtMost(POLICY.preemptibleRatioMax());
        }
    }

    // Guards against flapping: demand that crosses a threshold back and forth within the hold time.
    @Property(tries = 100, seed = SEED)
    void oscillatingDemandDrainsNothing(
            @ForAll @IntRange(min = 10, max = 600) int high,
            @ForAll @IntRange(min = 0, max = 300) int low,
            @ForAll @IntRange(min = 1, max = 59) int halfPeriodSeconds) {
        Platform platform = new Platform();
        ScalingPolicy policy = new ScalingPolicy(SETTINGS);
        long nowMs = 0;
        for (int step = 0; step < 120; step++) {
            int tokens = step / 3 % 2 == 0 ? Math.max(high, low) : Math.min(high, low);
            platform.demand.replaceAll((zone, old) -> new DemandEstimate(tokens / 2.0, tokens, 0, 0));
            platform.zones.values().forEach(fleets -> fleets.values().forEach(platform::respond));
            Map<String, ScalingTarget> targets = policy.targets(platform.demands());
            for (ScalingDecision decision : policy.decide(platform.demands(), nowMs)) {
                assertThat(decision).isInstanceOf(ScalingDecision.Start.class);
                platform.apply(decision, targets);
            }
            nowMs += halfPeriodSeconds * 1_000L / 3;
        }
    }
}
