package org.cranberrybend.controller.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.cranberrybend.controller.order.OrderSource;
import org.cranberrybend.controller.order.PlannedOrder;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.ZonePolicy;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.lease.OrderAction;
import org.cranberrybend.core.lease.OrderIntent;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;
import org.cranberrybend.core.scaling.ScalingDecision;
import org.cranberrybend.core.scaling.ScalingPolicy;
import org.cranberrybend.core.scaling.ScalingTarget;
import org.cranberrybend.core.scaling.UpstreamInventory;
import org.cranberrybend.core.scaling.ZoneDemand;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.AcceptedOrder;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.UpstreamOrders;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.node.UpstreamSource;

/**
 * Plans start and stop orders for the engines of a zone from the measured demand.
 *
 * <p>A surplus upstream is drained first, and stopped when no router holds a slot on it or the drain limit has passed.
 * A drain is canceled if the upstream is needed again before its stop order is sent. Lost upstreams are replaced
 * immediately; the scale-down delay applies only to surplus ones.
 *
 * <p>Edge cases: after a lease takeover nothing is drained or stopped until the demand is known, and the drains of the
 * previous lease holder end with its lease. An upstream that serves several models is drained only if it is surplus for
 * all of them. Nothing is ordered without a recent instance list, the platform's order list and a zone policy.
 * Upstreams of models that are not configured are neither started nor stopped. Each zone is planned separately,
 * including its preemptible upstreams, because demand is reported only inside a zone.
 *
 * <p>Orders are planned by one thread; other threads may read the draining upstreams.
 */
public final class ScalingOrderSource implements OrderSource {
    private final DemandCollector collector;
    private final Supplier<ConfigurationView> configuration;
    private final MemberDirectory members;
    private final UpstreamSource upstreams;
    private final UpstreamOrders orders;
    private final Supplier<OptionalLong> leaseFencingNumber;
    private final ScalingParameters parameters;
    private final TimeSource time;
    private final EventLog events;
    private final OrderTracker orderTracker;
    /** Policy of each model, which records since when the model has had surplus upstreams. */
    private final Map<String, ScalingPolicy> policies = new HashMap<>();

    private final Map<String, Integer> slotsPerUpstream = new HashMap<>();
    private volatile DrainState drains = DrainState.NONE;

    /**
     * Creates the order source of a zone.
     *
     * @param leaseFencingNumber returns the fencing number of the zone's order lease, or empty if it is not held
     */
    public ScalingOrderSource(
            DemandCollector collector,
            Supplier<ConfigurationView> configuration,
            MemberDirectory members,
            UpstreamSource upstreams,
            UpstreamOrders orders,
            Supplier<OptionalLong> leaseFencingNumber,
            ScalingParameters parameters,
            TimeSource time,
            EventLog events) {
        this.collector = collector;
        this.configuration = configuration;
        this.members = members;
        this.upstreams = upstreams;
        this.orders = orders;
        this.leaseFencingNumber = leaseFencingNumber;
        this.parameters = parameters;
        this.time = time;
        this.events = events;
        this.orderTracker = new OrderTracker(parameters.orderEffectTimeoutMs(), parameters.unavailableRetryMs());
    }

    /** Returns the draining upstreams, or none if this process does not hold the order lease. */
    DrainState drains() {
        DrainState current = drains;
        OptionalLong held = leaseFencingNumber.get();
        return held.isPresent() && held.getAsLong() == current.fencingNumber() ? current : DrainState.NONE;
    }

    @Override
    public List<PlannedOrder> plannedOrders(String zone, List<OrderIntent> intents) {
        OptionalLong fencingNumber = leaseFencingNumber.get();
        if (fencingNumber.isEmpty()) {
            return List.of();
        }
        if (fencingNumber.getAsLong() != drains.fencingNumber()) {
            drains = new DrainState(fencingNumber.getAsLong(), 1, Map.of());
            policies.clear();
            collector.reset();
        }
        long nowMs = time.monotonicMs();
        collector.observe(members.members(), nowMs);
        ConfigurationView view = configuration.get();
        Optional<ZonePolicy> policy = view.zone(zone);
        if (policy.isEmpty() || time.wallMs() - upstreams.upstreamsReadAtMs() > parameters.instanceListMaxAgeMs()) {
            return List.of();
        }
        List<AcceptedOrder> accepted;
        try {
            accepted = orders.orders(zone);
        } catch (PlatformException e) {
            // Without the list, an upstream could be ordered again although an accepted order already provides it.
            return List.of();
        }
        List<Upstream> engines = upstreams.upstreams().stream()
                .filter(each -> each.zone().equals(zone) && each.kind() == UpstreamKind.ENGINE)
                .toList();
        orderTracker.update(intents, accepted, engines, nowMs);
        return new PlanningPass(zone, policy.get(), engines, view.models().keySet(), nowMs).plan();
    }

    /** One planning pass over all models, based on one snapshot of the zone. */
    private final class PlanningPass {
        private final String zone;
        private final ZonePolicy zonePolicy;
        private final List<Upstream> engines;
        private final Map<String, ScalingTarget> targets = new TreeMap<>();
        private final long nowMs;
        private final boolean complete;
        private final List<PlannedOrder> starts = new ArrayList<>();
        /** Stop orders by upstream, because several models may release the same upstream. */
        private final Map<String, PlannedOrder> stops = new TreeMap<>();

        PlanningPass(String zone, ZonePolicy zonePolicy, List<Upstream> engines, Iterable<String> models, long nowMs) {
            this.zone = zone;
            this.zonePolicy = zonePolicy;
            this.engines = engines;
            this.nowMs = nowMs;
            this.complete = collector.isComplete(members.members(), nowMs);
            for (String model : models) {
                targets.put(
                        model,
                        policies.computeIfAbsent(model, name -> new ScalingPolicy(parameters.policy()))
                                .targets(List.of(demand(model)))
                                .get(zone));
            }
        }

        List<PlannedOrder> plan() {
            removeDrainsOfUnlistedUpstreams();
            targets.keySet().forEach(this::cancelDrains);
            for (String model : targets.keySet()) {
                for (ScalingDecision decision : policies.get(model).decide(List.of(demand(model)), nowMs)) {
                    apply(model, decision);
                }
            }
            if (!complete) {
                // Time without complete demand reports does not count towards the scale-down delay.
                policies.clear();
            }
            List<PlannedOrder> planned = new ArrayList<>(starts);
            planned.addAll(stops.values());
            return planned;
        }

        private void apply(String model, ScalingDecision decision) {
            if (decision instanceof ScalingDecision.Start start) {
                starts.add(new PlannedOrder(OrderAction.START, start.market(), model, "", false));
            } else if (decision instanceof ScalingDecision.Release release) {
                stop(model, release.upstreamId());
            } else if (decision instanceof ScalingDecision.Drain drain && complete) {
                drain(model, drain.upstreamId());
            }
        }

        private void stop(String model, String upstreamId) {
            if (collector.isDemandKnown()) {
                Market market = engines.stream()
                        .filter(each -> each.id().equals(upstreamId))
                        .map(Upstream::market)
                        .findFirst()
                        .orElseThrow();
                stops.putIfAbsent(upstreamId, new PlannedOrder(OrderAction.STOP, market, model, upstreamId, false));
            }
        }

        /** Drains an upstream of the same market as the given one that no model needs, if there is any. */
        private void drain(String model, String upstreamId) {
            Market market = engines.stream()
                    .filter(each -> each.id().equals(upstreamId))
                    .map(Upstream::market)
                    .findFirst()
                    .orElseThrow();
            engines.stream()
                    .filter(each -> each.services().contains(model) && each.market() == market && isServing(each))
                    .filter(this::isSurplusForAllModels)
                    .max(Comparator.comparing(Upstream::id))
                    .ifPresent(each -> {
                        drains = drains.with(each.id(), nowMs);
                        events.record(EventCode.UPSTREAM_DRAINING, each.id(), Map.of("model", model));
                    });
        }

        private boolean isSurplusForAllModels(Upstream upstream) {
            for (String model : upstream.services()) {
                ScalingTarget target = targets.get(model);
                if (target != null) {
                    int servingInMarket = serving(model, upstream.market()).size();
                    int servingTotal = serving(model, Market.GUARANTEED).size()
                            + serving(model, Market.PREEMPTIBLE).size();
                    if (servingInMarket <= target.count(upstream.market())
                            || servingTotal <= target.guaranteed() + target.preemptible()) {
                        return false;
                    }
                }
            }
            return true;
        }

        private void removeDrainsOfUnlistedUpstreams() {
            for (String upstreamId : drains.drains().keySet()) {
                if (engines.stream().noneMatch(each -> each.id().equals(upstreamId))) {
                    drains = drains.without(upstreamId);
                }
            }
        }

        private void cancelDrains(String model) {
            for (Market market : Market.values()) {
                int missing = targets.get(model).count(market)
                        - serving(model, market).size()
                        - orderTracker.pendingStarts(model, market);
                List<Upstream> candidates = engines.stream()
                        .filter(each -> each.services().contains(model) && each.market() == market)
                        .filter(each -> drains.contains(each.id()) && !each.leaving())
                        .filter(each -> !orderTracker.isStopping(each.id()))
                        .sorted(Comparator.comparing(Upstream::id))
                        .limit(Math.max(0, missing))
                        .toList();
                for (Upstream each : candidates) {
                    drains = drains.without(each.id());
                    events.record(EventCode.UPSTREAM_DRAIN_ENDED, each.id(), Map.of("model", model));
                }
            }
        }

        private boolean isServing(Upstream upstream) {
            return !upstream.leaving() && !drains.contains(upstream.id()) && !orderTracker.isStopping(upstream.id());
        }

        private List<String> serving(String model, Market market) {
            return engines.stream()
                    .filter(each -> each.services().contains(model) && each.market() == market && isServing(each))
                    .map(Upstream::id)
                    .toList();
        }

        private ZoneDemand demand(String model) {
            PoolStatistics statistics = collector.pool(model);
            engines.stream()
                    .filter(each -> each.services().contains(model))
                    .mapToInt(Upstream::capacitySlots)
                    .average()
                    .ifPresent(average -> slotsPerUpstream.put(model, Math.max(1, (int) Math.round(average))));
            double tokensPerSecond = statistics.tokensPerSlotSecond().orElse(parameters.defaultTokensPerSlotSecond())
                    * slotsPerUpstream.getOrDefault(model, parameters.defaultSlotsPerUpstream());
            return new ZoneDemand(
                    zone,
                    zonePolicy,
                    statistics.servedEstimate(),
                    tokensPerSecond,
                    count(model, Market.GUARANTEED),
                    count(model, Market.PREEMPTIBLE));
        }

        private UpstreamInventory count(String model, Market market) {
            List<String> draining = engines.stream()
                    .filter(each -> each.services().contains(model) && each.market() == market && !isServing(each))
                    .map(Upstream::id)
                    .toList();
            return new UpstreamInventory(
                    market,
                    serving(model, market),
                    draining,
                    draining.stream().filter(this::isReadyToStop).toList(),
                    orderTracker.pendingStarts(model, market),
                    orderTracker.isUnavailable(model, market));
        }

        private boolean isReadyToStop(String upstreamId) {
            DrainState.Drain drain = drains.drains().get(upstreamId);
            if (drain == null || orderTracker.isStopping(upstreamId)) {
                return false;
            }
            return nowMs - drain.sinceMs() >= parameters.drainLimitMs()
                    || collector.isDrained(upstreamId, drains, members.members(), nowMs);
        }
    }
}
