package org.cranberrybend.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.cranberrybend.core.configuration.ZonePolicy;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.UpstreamKind;
import org.cranberrybend.core.scaling.DemandEstimate;
import org.cranberrybend.core.scaling.ScalingDecision;
import org.cranberrybend.core.scaling.ScalingPolicy;
import org.cranberrybend.core.scaling.ScalingSettings;
import org.cranberrybend.core.scaling.UpstreamInventory;
import org.cranberrybend.core.scaling.ZoneDemand;

/** The running upstreams, their cost, and the scaling policy that orders and releases engines. */
final class Fleet {
    /** Price of a preemptible upstream relative to a guaranteed one. */
    private static final double PREEMPTIBLE_PRICE_RATIO = 0.35;

    private static final ZonePolicy ZONE_POLICY = new ZonePolicy(1, 5, 0.7);
    private static final long DEMAND_TIME_CONSTANT_MS = 20_000;

    private final Deployment deployment;
    private final Consumer<SimRequest> onFinished;
    private final double engineTokensPerSecond;
    private final ScalingPolicy policy = new ScalingPolicy(ScalingSettings.DEFAULT);
    private final Map<String, DemandEstimate> demand = new HashMap<>();
    private final Map<String, Integer> pendingStarts = new HashMap<>();
    private final Map<String, Long> reclaimedUntilMs = new HashMap<>();
    private final Map<String, Long> drainingSinceMs = new HashMap<>();
    final List<EngineModel> engines = new ArrayList<>();
    private double cost;

    Fleet(Deployment deployment, Consumer<SimRequest> onFinished) {
        this.deployment = deployment;
        this.onFinished = onFinished;
        this.engineTokensPerSecond = Workload.engineTokensPerSecond(deployment);
        deployment.engines().forEach(spec -> add(spec, 0));
    }

    private void add(EngineSpec spec, long nowMs) {
        // Zero-padded, so that the lexical order of the ids is the order of the starts.
        String id = String.format("%s-%03d", spec.service(), engines.size());
        engines.add(new EngineModel(id, spec, nowMs, onFinished));
    }

    /** Returns the upstreams that have not been removed. */
    List<EngineModel> listed() {
        return engines.stream().filter(engine -> !engine.removed).toList();
    }

    /** Returns the billed time of all engines in seconds of a guaranteed engine; plain services are free. */
    double cost(long nowMs) {
        double total = cost;
        for (EngineModel engine : listed()) {
            total += price(engine, nowMs);
        }
        return total;
    }

    private static double price(EngineModel engine, long nowMs) {
        if (engine.spec.kind() == UpstreamKind.SERVICE) {
            return 0;
        }
        double price = engine.spec.market() == Market.PREEMPTIBLE ? PREEMPTIBLE_PRICE_RATIO : 1;
        return price * (nowMs - engine.startedMs) / 1_000;
    }

    /** Removes an upstream and bills it until now. */
    void remove(EngineModel engine, long nowMs) {
        cost += price(engine, nowMs);
        engine.removed = true;
    }

    /** Marks the preemptible market of a zone as unavailable until the given time and returns its upstreams. */
    List<EngineModel> reclaim(String zone, long untilMs) {
        reclaimedUntilMs.put(zone, untilMs);
        return listed().stream()
                .filter(engine -> engine.spec.zone().equals(zone) && engine.spec.market() == Market.PREEMPTIBLE)
                .toList();
    }

    /**
     * Updates the demand estimates with an interval and returns the scaling decisions.
     *
     * @param offeredTokens tokens of the requests that arrived, by zone: of tiers 0 and 1, then of all tiers
     * @param queuedTokens tokens of the waiting requests, by zone: of tiers 0 and 1, then of all tiers
     */
    List<ScalingDecision> decide(
            Map<String, long[]> offeredTokens, Map<String, long[]> queuedTokens, long intervalMs, long nowMs) {
        List<ZoneDemand> zones = new ArrayList<>();
        TreeSet<String> names = new TreeSet<>();
        deployment.engines().forEach(spec -> names.add(spec.zone()));
        for (String zone : names) {
            long[] offered = offeredTokens.getOrDefault(zone, new long[2]);
            long[] queued = queuedTokens.getOrDefault(zone, new long[2]);
            DemandEstimate estimate = demand.getOrDefault(zone, DemandEstimate.NONE)
                    .observe(offered[0], offered[1], queued[0], queued[1], intervalMs, DEMAND_TIME_CONSTANT_MS);
            demand.put(zone, estimate);
            zones.add(new ZoneDemand(
                    zone,
                    ZONE_POLICY,
                    estimate,
                    engineTokensPerSecond,
                    inventory(zone, Market.GUARANTEED, nowMs),
                    inventory(zone, Market.PREEMPTIBLE, nowMs)));
        }
        return policy.decide(zones, nowMs);
    }

    private UpstreamInventory inventory(String zone, Market market, long nowMs) {
        List<String> serving = new ArrayList<>();
        List<String> draining = new ArrayList<>();
        List<String> drained = new ArrayList<>();
        for (EngineModel engine : listed()) {
            boolean included = engine.spec.zone().equals(zone)
                    && engine.spec.market() == market
                    && engine.spec.service().equals(deployment.model());
            if (included && engine.leaving) {
                draining.add(engine.id);
                // Requests that were granted a slot before the list was read may still arrive.
                if (engine.load() == 0 && nowMs - drainingSinceMs.get(engine.id) > 5_000) {
                    drained.add(engine.id);
                }
            } else if (included) {
                serving.add(engine.id);
            }
        }
        boolean unavailable = market == Market.PREEMPTIBLE && reclaimedUntilMs.getOrDefault(zone, 0L) > nowMs;
        int pending = pendingStarts.getOrDefault(zone + market, 0);
        return new UpstreamInventory(market, serving, draining, drained, pending, unavailable);
    }

    /** Counts an ordered upstream as pending until {@link #completeOrder}. */
    void recordOrder(ScalingDecision.Start start) {
        pendingStarts.merge(start.zone() + start.market(), 1, Integer::sum);
    }

    /** Starts an ordered upstream, unless its market has become unavailable. */
    void completeOrder(ScalingDecision.Start start, long nowMs) {
        pendingStarts.merge(start.zone() + start.market(), -1, Integer::sum);
        boolean reclaimed =
                start.market() == Market.PREEMPTIBLE && reclaimedUntilMs.getOrDefault(start.zone(), 0L) > nowMs;
        EngineSpec template = deployment.engines().stream()
                .filter(spec ->
                        spec.zone().equals(start.zone()) && spec.service().equals(deployment.model()))
                .findFirst()
                .orElseThrow();
        if (!reclaimed) {
            add(
                    new EngineSpec(
                            template.zone(),
                            template.region(),
                            template.service(),
                            template.kind(),
                            template.slots(),
                            1,
                            start.market()),
                    nowMs);
        }
    }

    /** Marks an upstream as leaving, so that it gets no further requests. */
    void drain(String engineId, long nowMs) {
        find(engineId).leaving = true;
        drainingSinceMs.put(engineId, nowMs);
    }

    /** Returns an upstream by its id. */
    EngineModel find(String engineId) {
        return engines.stream()
                .filter(engine -> engine.id.equals(engineId))
                .findFirst()
                .orElseThrow();
    }
}
