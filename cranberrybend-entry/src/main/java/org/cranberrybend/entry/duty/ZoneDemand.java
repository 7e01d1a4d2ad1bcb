package org.cranberrybend.entry.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.configuration.ServiceDefinition;
import org.cranberrybend.entry.upstream.Upstream;
import org.cranberrybend.entry.upstream.ZoneEvacuations;

/**
 * Decides how many upstreams of a service its load needs in each availability zone. Confined to the event loop.
 *
 * <p>The load of a service is divided among its zones. The share of an evacuated zone is added to the others. In a region
 * that a constraint names, the zones must also bear the requests that run in this region now, because a part of them may
 * run nowhere else. The load reports do not tell constrained requests from others: those that could leave the region do
 * so when it is full, and the rest raises the reported load until enough upstreams are ordered.
 */
final class ZoneDemand {
    /** In-flight requests at which an engine still meets the latency targets of streams. */
    private static final double REQUESTS_PER_ENGINE = 5;

    private final Map<String, String> regionsByZone;
    private final ZoneEvacuations evacuations;
    private final Map<String, ServiceDemand> demands = new HashMap<>();

    /**
     * Creates the demand of all services.
     *
     * @param regionsByZone region of each availability zone in which upstreams may run
     */
    ZoneDemand(Map<String, String> regionsByZone, ZoneEvacuations evacuations) {
        this.regionsByZone = Map.copyOf(regionsByZone);
        this.evacuations = evacuations;
    }

    /** Returns the availability zones in which upstreams may run. */
    Set<String> zones() {
        return regionsByZone.keySet();
    }

    /** Returns whether upstreams of a service may be ordered in a zone: it has a price there and is not evacuated. */
    boolean mayOrder(ServiceDefinition service, String zone) {
        return mayRun(service, zone) && !evacuations.isEvacuated(zone);
    }

    /** Returns whether the upstreams of a zone receive nothing. */
    boolean isEvacuated(String zone) {
        return evacuations.isEvacuated(zone);
    }

    /** A service may run only in the zones for which the configuration has a price. */
    private static boolean mayRun(ServiceDefinition service, String zone) {
        return service.scaling().get().zonePrices().containsKey(zone);
    }

    /** Returns how many upstreams the load of a service needs in all zones together. */
    int upstreamsNeeded(ServiceDefinition service, List<Upstream> upstreams, long nowMs) {
        return neededFor(service.name(), upstreams, nowMs);
    }

    /**
     * Returns the target number of upstreams in a zone that is not evacuated.
     *
     * @param needed upstreams that the load of the service needs in all zones together
     * @param instances running instances
     */
    int target(
            RoutingConfiguration configuration,
            ServiceDefinition service,
            String zone,
            List<Upstream> upstreams,
            int needed,
            int instances,
            long nowMs) {
        int slots =
                service.engine().map(ServiceDefinition.EngineDefinition::slots).orElse(0);
        int base = ServiceDemand.basePerZone(instances, slots, zones().size());
        int share = Math.max(base, needed / zones().size() + 1);
        int all = 0;
        int remaining = 0;
        int remainingInRegion = 0;
        String region = regionsByZone.get(zone);
        for (Map.Entry<String, String> each : regionsByZone.entrySet()) {
            all += mayRun(service, each.getKey()) ? 1 : 0;
            if (mayOrder(service, each.getKey())) {
                remaining++;
                remainingInRegion += each.getValue().equals(region) ? 1 : 0;
            }
        }
        int target = remaining == all ? share : (int) Math.ceil((double) share * all / Math.max(1, remaining));
        if (!configuration.isNamedInConstraint(region)) {
            return target;
        }
        List<Upstream> inRegion = new ArrayList<>(upstreams);
        inRegion.removeIf(each -> !region.equals(regionsByZone.get(each.entry().zone())));
        int neededInRegion = neededFor(service.name() + "/" + region, inRegion, nowMs);
        return Math.max(target, neededInRegion / Math.max(1, remainingInRegion) + 1);
    }

    private int neededFor(String key, List<Upstream> upstreams, long nowMs) {
        List<Upstream> serving = new ArrayList<>();
        List<Upstream> evacuated = new ArrayList<>();
        for (Upstream each : upstreams) {
            (evacuations.isEvacuated(each.entry().zone()) ? evacuated : serving).add(each);
        }
        int requests =
                demands.computeIfAbsent(key, each -> new ServiceDemand()).peakRequests(serving, evacuated, nowMs);
        return (int) Math.ceil(requests / REQUESTS_PER_ENGINE);
    }
}
