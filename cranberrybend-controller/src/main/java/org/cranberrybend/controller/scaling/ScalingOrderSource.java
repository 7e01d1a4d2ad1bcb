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
import org.cranberrybend.controller.order.WantedOrder;
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
 * Orders upstreams of the zone by measured demand.
 *
 * <p>A surplus upstream is drained first and stopped once no router has a slot on it or the limit has passed. The drain is
 * taken back when the upstream is needed before its stop order. Losses are replaced at once; only a surplus is subject to
 * the hold time.
 *
 * <p>Edge cases: after a take-over nothing is drained or stopped until demand is known; drains of the predecessor end with
 * its lease. An upstream that serves several models is drained only if none of them needs it. Without a recent list of
 * instances, the platform's list of orders, or a zone policy, nothing is ordered. Models that are not configured are
 * neither ordered nor stopped. Each zone plans for itself, also in which preemptible upstreams it runs, because demand is
 * reported inside the zone only.
 *
 * <p>Orders are asked for by one thread; the draining upstreams may be read by others.
 */
public final class ScalingOrderSource implements OrderSource {
    private final DemandCollector collector;
    private final Supplier<ConfigurationView> configuration;
    private final MemberDirectory members;
    private final UpstreamSource upstreams;
    private final UpstreamOrders orders;
    private final Supplier<OptionalLong> leaseFencingNumber;
    private final ScalingTimes times;
    private final TimeSource time;
    private final EventLog events;
    private final OrderHistory history;
    /** One policy per model; they hold since when an upstream is surplus. */
    private final Map<String, ScalingPolicy> policies = new HashMap<>();

    private final Map<String, Integer> slotsPerUpstream = new HashMap<>();
    private volatile DrainState drains = DrainState.NONE;

    /**
     * Creates the source.
     *
     * @param leaseFencingNumber fencing number of the zone's order lease while this process holds it
     */
    public ScalingOrderSource(
            DemandCollector collector,
            Supplier<ConfigurationView> configuration,
            MemberDirectory members,
            UpstreamSource upstreams,
            UpstreamOrders orders,
            Supplier<OptionalLong> leaseFencingNumber,
            ScalingTimes times,
            TimeSource time,
            EventLog events) {
        this.collector = collector;
        this.configuration = configuration;
        this.members = members;
        this.upstreams = upstreams;
        this.orders = orders;
        this.leaseFencingNumber = leaseFencingNumber;
        this.times = times;
        this.time = time;
        this.events = events;
        this.history = new OrderHistory(times.orderEffectMs(), times.unavailableMs());
    }

    /** Returns the draining upstreams, or none if this process does not hold the order lease. */
    DrainState drains() {
        DrainState current = drains;
        OptionalLong held = leaseFencingNumber.get();
        return held.isPresent() && held.getAsLong() == current.fencingNumber() ? current : DrainState.NONE;
    }

    @Override
    public List<WantedOrder> wantedOrders(String zone, List<OrderIntent> intents) {
        OptionalLong fencingNumber = leaseFencingNumber.get();
        if (fencingNumber.isEmpty()) {
            return List.of();
        }
        if (fencingNumber.getAsLong() != drains.fencingNumber()) {
            drains = new DrainState(fencingNumber.getAsLong(), 1, Map.of());
            policies.clear();
            collector.takeOver();
        }
        long nowMs = time.monotonicMs();
        collector.observe(members.members(), nowMs);
        ConfigurationView view = configuration.get();
        Optional<ZonePolicy> policy = view.zone(zone);
        if (policy.isEmpty() || time.wallMs() - upstreams.upstreamsReadAtMs() > times.tableMaxAgeMs()) {
            return List.of();
        }
        List<AcceptedOrder> accepted;
        try {
            accepted = orders.orders(zone);
        } catch (PlatformException e) {
            // Without the list an order may be missed that already serves the need.
            return List.of();
        }
        List<Upstream> engines = upstreams.upstreams().stream()
                .filter(each -> each.zone().equals(zone) && each.kind() == UpstreamKind.ENGINE)
                .toList();
        history.update(intents, accepted, engines, nowMs);
        return new Round(zone, policy.get(), engines, view.models().keySet(), nowMs).orders();
    }

    /** One pass over all models with one view of the zone. */
    private final class Round {
        private final String zone;
        private final ZonePolicy zonePolicy;
        private final List<Upstream> engines;
        private final Map<String, ScalingTarget> targets = new TreeMap<>();
        private final long nowMs;
        private final boolean complete;
        /** Wanted orders; a stop is keyed by its upstream, which several models may release. */
        private final List<WantedOrder> starts = new ArrayList<>();

        private final Map<String, WantedOrder> stops = new TreeMap<>();

        Round(String zone, ZonePolicy zonePolicy, List<Upstream> engines, Iterable<String> models, long nowMs) {
            this.zone = zone;
            this.zonePolicy = zonePolicy;
            this.engines = engines;
            this.nowMs = nowMs;
            this.complete = collector.isComplete(members.members(), nowMs);
            for (String model : models) {
                targets.put(
                        model,
                        policies.computeIfAbsent(model, name -> new ScalingPolicy(times.policy()))
                                .targets(List.of(demand(model)))
                                .get(zone));
            }
        }

        List<WantedOrder> orders() {
            endDrainsOfGoneUpstreams();
            targets.keySet().forEach(this::takeBackDrains);
            for (String model : targets.keySet()) {
                for (ScalingDecision decision : policies.get(model).decide(List.of(demand(model)), nowMs)) {
                    apply(model, decision);
                }
            }
            if (!complete) {
                // Time in which demand was not seen does not count towards the hold time.
                policies.clear();
            }
            List<WantedOrder> wanted = new ArrayList<>(starts);
            wanted.addAll(stops.values());
            return wanted;
        }

        private void apply(String model, ScalingDecision decision) {
            if (decision instanceof ScalingDecision.Start start) {
                starts.add(new WantedOrder(OrderAction.START, start.market(), model, "", false));
            } else if (decision instanceof ScalingDecision.Release release) {
                stop(model, release.upstreamId());
            } else if (decision instanceof ScalingDecision.Drain drain && complete) {
                drain(model, drain.upstreamId());
            }
        }

        private void stop(String model, String upstreamId) {
            if (collector.isKnown()) {
                Market market = engines.stream()
                        .filter(each -> each.id().equals(upstreamId))
                        .map(Upstream::market)
                        .findFirst()
                        .orElseThrow();
                stops.putIfAbsent(upstreamId, new WantedOrder(OrderAction.STOP, market, model, upstreamId, false));
            }
        }

        /** Drains the upstream that the policy names, or another of its market if other models need that one. */
        private void drain(String model, String upstreamId) {
            Market market = engines.stream()
                    .filter(each -> each.id().equals(upstreamId))
                    .map(Upstream::market)
                    .findFirst()
                    .orElseThrow();
            engines.stream()
                    .filter(each -> each.services().contains(model) && each.market() == market && isServing(each))
                    .filter(this::isNeededByNoModel)
                    .max(Comparator.comparing(Upstream::id))
                    .ifPresent(each -> {
                        drains = drains.with(each.id(), nowMs);
                        events.record(EventCode.UPSTREAM_DRAINING, each.id(), Map.of("model", model));
                    });
        }

        private boolean isNeededByNoModel(Upstream upstream) {
            for (String model : upstream.services()) {
                ScalingTarget target = targets.get(model);
                if (target != null) {
                    int ofMarket = serving(model, upstream.market()).size();
                    int all = serving(model, Market.GUARANTEED).size()
                            + serving(model, Market.PREEMPTIBLE).size();
                    if (ofMarket <= target.count(upstream.market())
                            || all <= target.guaranteed() + target.preemptible()) {
                        return false;
                    }
                }
            }
            return true;
        }

        private void endDrainsOfGoneUpstreams() {
            for (String upstreamId : drains.drains().keySet()) {
                if (engines.stream().noneMatch(each -> each.id().equals(upstreamId))) {
                    drains = drains.without(upstreamId);
                }
            }
        }

        private void takeBackDrains(String model) {
            for (Market market : Market.values()) {
                int missing = targets.get(model).count(market)
                        - serving(model, market).size()
                        - history.pendingStarts(model, market);
                List<Upstream> candidates = engines.stream()
                        .filter(each -> each.services().contains(model) && each.market() == market)
                        .filter(each -> drains.contains(each.id()) && !each.leaving())
                        .filter(each -> !history.isStopping(each.id()))
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
            return !upstream.leaving() && !drains.contains(upstream.id()) && !history.isStopping(upstream.id());
        }

        private List<String> serving(String model, Market market) {
            return engines.stream()
                    .filter(each -> each.services().contains(model) && each.market() == market && isServing(each))
                    .map(Upstream::id)
                    .toList();
        }

        private ZoneDemand demand(String model) {
            PoolMeasure measure = collector.pool(model);
            engines.stream()
                    .filter(each -> each.services().contains(model))
                    .mapToInt(Upstream::capacitySlots)
                    .average()
                    .ifPresent(average -> slotsPerUpstream.put(model, Math.max(1, (int) Math.round(average))));
            double tokensPerSecond = measure.tokensPerSlotSecond().orElse(times.tokensPerSlotSecond())
                    * slotsPerUpstream.getOrDefault(model, times.slotsPerUpstream());
            return new ZoneDemand(
                    zone,
                    zonePolicy,
                    measure.servedEstimate(),
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
                    draining.stream().filter(this::mayBeStopped).toList(),
                    history.pendingStarts(model, market),
                    history.isUnavailable(model, market));
        }

        private boolean mayBeStopped(String upstreamId) {
            DrainState.Drain drain = drains.drains().get(upstreamId);
            if (drain == null || history.isStopping(upstreamId)) {
                return false;
            }
            return nowMs - drain.sinceMs() >= times.drainLimitMs()
                    || collector.isDrained(upstreamId, drains, members.members(), nowMs);
        }
    }
}
