package org.cranberrybend.entry.duty;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.configuration.ScalingBounds;
import org.cranberrybend.entry.configuration.ServiceDefinition;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.DutyException;
import org.cranberrybend.entry.port.DutyGrant;
import org.cranberrybend.entry.port.UpstreamOrders;
import org.cranberrybend.entry.port.UpstreamOrders.Order;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.upstream.Upstream;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.ZoneEvacuations;

/** Orders upstreams for all services with scaling bounds. Confined to the event loop; sends one order at a time. */
public final class OrderDuty {
    private static final long FAILURE_BACKOFF_MS = 1_000;

    private final UpstreamOrders orders;
    private final DutyLease lease;
    private final ConfigurationHolder configuration;
    private final UpstreamTable upstreams;
    private final ZoneDemand demand;
    private final IntSupplier instances;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final Map<String, OrderPlanner> planners = new LinkedHashMap<>();
    private boolean pending;
    private long nextOrderMs;
    private long lastFencingNumber;

    /**
     * Creates the duty.
     *
     * @param regionsByZone region of each availability zone in which upstreams may run
     * @param evacuations zones in which none are ordered
     * @param instances number of running instances
     */
    public OrderDuty(
            UpstreamOrders orders,
            DutyLease lease,
            ConfigurationHolder configuration,
            UpstreamTable upstreams,
            Map<String, String> regionsByZone,
            ZoneEvacuations evacuations,
            IntSupplier instances,
            TimeSource timeSource,
            DecisionLog log) {
        this.orders = orders;
        this.lease = lease;
        this.configuration = configuration;
        this.upstreams = upstreams;
        this.demand = new ZoneDemand(regionsByZone, evacuations);
        this.instances = instances;
        this.timeSource = timeSource;
        this.log = log;
    }

    /** Sends the next order if one is due. */
    public void tick() {
        long nowMs = timeSource.monotonicMs();
        Optional<RoutingConfiguration> current = configuration.current();
        if (pending || nowMs < nextOrderMs || current.isEmpty() || !upstreams.isLoaded()) {
            return;
        }
        Optional<DutyGrant> grant = lease.grant();
        if (grant.isEmpty()) {
            return;
        }
        if (grant.get().fencingNumber() != lastFencingNumber) {
            lastFencingNumber = grant.get().fencingNumber();
            planners.values().forEach(OrderPlanner::reset);
        }
        for (ServiceDefinition service : current.get().services()) {
            if (service.scaling().isEmpty()) {
                continue;
            }
            for (String zone : demand.zones()) {
                if (!demand.mayOrder(service, zone)) {
                    // Orders placed before an evacuation are outdated when it ends.
                    planners.remove(service.name() + "/" + zone);
                } else if (place(current.get(), service, zone, grant.get(), nowMs)) {
                    return;
                }
            }
        }
    }

    private boolean place(
            RoutingConfiguration current, ServiceDefinition service, String zone, DutyGrant grant, long nowMs) {
        String name = service.name();
        ScalingBounds bounds = service.scaling().get();
        OrderPlanner planner = planners.computeIfAbsent(name + "/" + zone, key -> new OrderPlanner(name, zone));
        OrderPlanner.Listed listed = countListed(name, zone);
        List<Upstream> listedUpstreams = upstreams.ofService(name);
        int needed = demand.upstreamsNeeded(service, listedUpstreams, nowMs);
        int target = demand.target(current, service, zone, listedUpstreams, needed, instances.getAsInt(), nowMs);
        int substitutes = Math.max(1, needed - readyInOtherZones(service, zone));
        List<Order> due = planner.plan(bounds, target, substitutes, listed, nowMs);
        if (due.isEmpty()) {
            return false;
        }
        send(planner, due.get(0), grant, listed);
        return true;
    }

    private int readyInOtherZones(ServiceDefinition service, String zone) {
        return (int) upstreams.ofService(service.name()).stream()
                .filter(each -> each.isListedReady() && !each.entry().zone().equals(zone))
                .filter(each -> !demand.isEvacuated(each.entry().zone()))
                .count();
    }

    private OrderPlanner.Listed countListed(String service, String zone) {
        int guaranteed = 0;
        int preemptible = 0;
        boolean leaving = false;
        for (Upstream upstream : upstreams.ofService(service)) {
            if (!upstream.entry().zone().equals(zone)) {
                continue;
            }
            boolean isPreemptible = upstream.entry().market() == Market.PREEMPTIBLE;
            if (upstream.isLeaving()) {
                leaving |= isPreemptible;
            } else if (isPreemptible) {
                preemptible++;
            } else {
                guaranteed++;
            }
        }
        return new OrderPlanner.Listed(guaranteed, preemptible, leaving);
    }

    private void send(OrderPlanner planner, Order order, DutyGrant grant, OrderPlanner.Listed listed) {
        pending = true;
        log.record(
                EventCode.ORDER_SENT,
                order.service() + "/" + order.zone(),
                "market",
                order.market(),
                "count",
                order.count(),
                "listed_guaranteed",
                listed.guaranteed(),
                "listed_preemptible",
                listed.preemptible(),
                "fencing_number",
                grant.fencingNumber());
        orders.order(grant, order).whenComplete((done, failure) -> {
            pending = false;
            long nowMs = timeSource.monotonicMs();
            if (failure == null) {
                planner.recordPlaced(order, nowMs);
                return;
            }
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            log.record(
                    EventCode.ORDER_ABANDONED,
                    order.service() + "/" + order.zone(),
                    "market",
                    order.market(),
                    "count",
                    order.count(),
                    "cause",
                    String.valueOf(cause.getMessage()));
            if (cause instanceof DutyException && ((DutyException) cause).kind() == DutyException.Kind.UNAVAILABLE) {
                planner.recordUnavailable(order, nowMs);
            } else {
                nextOrderMs = nowMs + FAILURE_BACKOFF_MS;
            }
        });
    }
}
