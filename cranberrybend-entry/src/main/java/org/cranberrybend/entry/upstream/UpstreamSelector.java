package org.cranberrybend.entry.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.entry.configuration.LatencyClass;

/**
 * Selects the upstream of an attempt.
 *
 * <p>For a plain service, it is the least loaded upstream, with a penalty for other availability zones and regions. For
 * a model, it is found by consistent hashing with bounded loads: prompts with the same shared prefix go to the same
 * engine of the region, whose prefix cache then contains it. If the load of that engine exceeds a bound relative to the
 * mean, the next engine in the order of the prefix's rendezvous hash takes its place.
 */
public final class UpstreamSelector {
    /** Load added to an upstream in another availability zone of the region, in requests per slot. */
    private static final double OTHER_ZONE_PENALTY = 0.15;
    /** Load added to an upstream in another region, in requests per slot. */
    private static final double OTHER_REGION_PENALTY = 0.8;
    /** Number of requests by which an engine may exceed the mean of its group before prompts go to the next engine. */
    private static final double MAX_EXCESS_REQUESTS = 8;
    /** The same limit for engines with few slots, as a fraction of the slots. */
    private static final double MAX_EXCESS_SLOT_RATIO = 0.35;
    /** Number of requests above which an engine is not chosen by hash, whatever the mean of its group. */
    private static final double MAX_PREFERRED_REQUESTS = 24;
    /** The same limit for engines with few slots, as a fraction of the slots. */
    private static final double MAX_PREFERRED_SLOT_RATIO = 0.7;
    /** Number of requests above which an engine is overloaded; with fewer slots, their number is the limit. */
    private static final int OVERLOADED_REQUESTS = 40;
    /** Multiple of the group's mean up to which an engine is chosen by hash, if that exceeds the mean plus excess. */
    private static final double MAX_EXCESS_RATIO = 1.6;

    /**
     * Length of a shared prefix from which requests that are not latency-sensitive use one engine for all regions:
     * another prefill would cost more than the traffic between regions.
     */
    private static final int MIN_FLEET_WIDE_PREFIX_TOKENS = 6_000;

    private final UpstreamTable table;
    private final UpstreamEligibility eligibility;
    private final String zone;
    private final Map<String, String> regionsByZone;

    /** Creates a selector for an instance in the given zone. */
    public UpstreamSelector(
            UpstreamTable table, UpstreamEligibility eligibility, String zone, Map<String, String> regionsByZone) {
        this.table = table;
        this.eligibility = eligibility;
        this.zone = zone;
        this.regionsByZone = Map.copyOf(regionsByZone);
    }

    /** Returns the upstream for an attempt; empty if none is left. */
    public Optional<Upstream> choose(UpstreamQuery query) {
        List<Upstream> usable = new ArrayList<>();
        List<Upstream> lastResort = new ArrayList<>();
        for (Upstream each : table.ofService(query.service())) {
            if (query.excluded().contains(each.entry().id())) {
                continue;
            }
            Optional<Exclusion> exclusion = eligibility.exclusion(each, query);
            if (exclusion.isEmpty()) {
                usable.add(each);
            } else if (exclusion.get().isIgnoredAsLastResort()) {
                lastResort.add(each);
            }
        }
        List<Upstream> candidates = usable.isEmpty() ? lastResort : usable;
        return query.prompt().isEmpty()
                ? leastLoaded(candidates, query.nowMs())
                : chooseEngine(candidates, query.prompt(), query.latencyClass(), query.nowMs());
    }

    private Optional<Upstream> leastLoaded(List<Upstream> candidates, long nowMs) {
        return candidates.stream()
                .min(Comparator.<Upstream>comparingDouble(each -> weightedLoad(each, nowMs))
                        .thenComparing(each -> each.entry().id()));
    }

    private double weightedLoad(Upstream upstream, long nowMs) {
        double load = upstream.estimatedRequests(nowMs)
                / (double) Math.max(1, upstream.entry().slots());
        String otherZone = upstream.entry().zone();
        if (otherZone.equals(zone)) {
            return load;
        }
        return load + (isSameRegion(otherZone) ? OTHER_ZONE_PENALTY : OTHER_REGION_PENALTY);
    }

    private boolean isSameRegion(String otherZone) {
        String region = regionsByZone.getOrDefault(zone, zone);
        return region.equals(regionsByZone.getOrDefault(otherZone, otherZone));
    }

    /**
     * Selects an engine of the request's group by hash. If all engines of the group exceed the bound, the least loaded
     * engine of the region is used, or if that is overloaded, the least loaded engine of all regions.
     */
    private Optional<Upstream> chooseEngine(
            List<Upstream> candidates, Prompt prompt, LatencyClass latencyClass, long nowMs) {
        List<Upstream> inRegion = candidates.stream()
                .filter(each -> isSameRegion(each.entry().zone()))
                .collect(Collectors.toList());
        List<Upstream> region = inRegion.isEmpty() ? candidates : inRegion;
        List<Upstream> group =
                prompt.sharedPrefixTokens() >= MIN_FLEET_WIDE_PREFIX_TOKENS && latencyClass != LatencyClass.SENSITIVE
                        ? groupsOfAllRegions(candidates, latencyClass)
                        : EngineGroups.group(region, latencyClass);
        double mean = group.stream()
                .mapToInt(each -> each.estimatedRequests(nowMs))
                .average()
                .orElse(0);
        int slots = group.stream().mapToInt(each -> each.entry().slots()).max().orElse(1);
        double maxExcess = Math.min(MAX_EXCESS_REQUESTS, slots * MAX_EXCESS_SLOT_RATIO);
        double maxRequests = Math.min(MAX_PREFERRED_REQUESTS, slots * MAX_PREFERRED_SLOT_RATIO);
        double bound = Math.min(maxRequests, Math.max(mean + maxExcess, mean * MAX_EXCESS_RATIO));
        Optional<Upstream> preferred = group.stream()
                .filter(each -> each.estimatedRequests(nowMs) <= bound)
                .max(Comparator.comparingLong(each -> RendezvousHash.hash(
                        prompt.sharedPrefixKey(), each.entry().id())));
        if (preferred.isPresent()) {
            return preferred;
        }
        Optional<Upstream> leastLoadedInRegion = fewestRequests(region, nowMs);
        boolean regionOverloaded = leastLoadedInRegion
                .map(each -> each.estimatedRequests(nowMs) > Math.min(OVERLOADED_REQUESTS, slots))
                .orElse(true);
        return regionOverloaded ? fewestRequests(candidates, nowMs) : leastLoadedInRegion;
    }

    /** Returns the engines that serve requests of a latency class in any region. */
    private List<Upstream> groupsOfAllRegions(List<Upstream> candidates, LatencyClass latencyClass) {
        return candidates.stream()
                .collect(Collectors.groupingBy(each -> regionsByZone.getOrDefault(
                        each.entry().zone(), each.entry().zone())))
                .values()
                .stream()
                .flatMap(engines -> EngineGroups.group(engines, latencyClass).stream())
                .collect(Collectors.toList());
    }

    private static Optional<Upstream> fewestRequests(List<Upstream> engines, long nowMs) {
        return engines.stream()
                .min(Comparator.<Upstream>comparingInt(each -> each.estimatedRequests(nowMs))
                        .thenComparing(each -> each.entry().id()));
    }
}
