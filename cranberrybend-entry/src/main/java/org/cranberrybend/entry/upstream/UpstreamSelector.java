package org.cranberrybend.entry.upstream;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cranberrybend.core.routing.RendezvousHash;

/**
 * Chooses the upstream of a request.
 *
 * <p>A plain service: the least loaded upstream, where another availability zone or region counts as load. A model
 * engine: prompts that begin alike go to the same engine of the region, which then has read their shared parts; the
 * next engine in the order of the prompt's hash takes over when that one has clearly more to do than the others.
 */
public final class UpstreamSelector {
    /** Load that an upstream in another availability zone of the region counts more, in requests per slot. */
    private static final double OTHER_ZONE_LOAD = 0.15;
    /** Load that an upstream in another region counts more, in requests per slot. */
    private static final double OTHER_REGION_LOAD = 0.8;
    /** Requests in progress by which an engine may exceed the mean of its region before a prompt goes to the next. */
    private static final double ENGINE_LEAD_REQUESTS = 8;
    /** The same for an engine with few slots, as a share of them. */
    private static final double ENGINE_LEAD_SHARE = 0.35;
    /** Requests in progress from which an engine takes none of its lane if another engine of the region has fewer. */
    private static final double ENGINE_LOADED_REQUESTS = 24;
    /** The same for an engine with few slots, as a share of them. */
    private static final double ENGINE_LOADED_SHARE = 0.7;
    /** Requests in progress from which a request goes to another region rather than to an engine. */
    private static final int ENGINE_OVERLOADED_REQUESTS = 40;
    /** Factor by which an engine may exceed the mean of its region. */
    private static final double ENGINE_LEAD_RATIO = 1.6;

    /**
     * Shared tokens from which a patient prompt has one engine in all regions: reading them again costs more than the
     * request's bytes between regions.
     */
    private static final int FLEET_WIDE_TOKENS = 6_000;

    private final UpstreamTable table;
    private final String zone;
    private final Map<String, String> regionsByZone;

    /** Creates a selector for an instance in the given zone. */
    public UpstreamSelector(UpstreamTable table, String zone, Map<String, String> regionsByZone) {
        this.table = table;
        this.zone = zone;
        this.regionsByZone = Map.copyOf(regionsByZone);
    }

    /**
     * Returns the upstream for a request.
     *
     * @param prompt prompt of the request; empty for a plain service
     * @param urgent whether the request has a tight target among those of its service
     * @param excluded upstreams that the request was sent to before
     */
    public Optional<Upstream> choose(String service, Prompt prompt, boolean urgent, Set<String> excluded, long nowMs) {
        List<Upstream> listed = table.ofService(service).stream()
                .filter(Upstream::isListedReady)
                .filter(each -> !excluded.contains(each.entry().id()))
                .collect(Collectors.toList());
        List<Upstream> usable =
                listed.stream().filter(each -> each.accepts(nowMs)).collect(Collectors.toList());
        // With all set aside, the judgement on them is more likely wrong than all of them being broken.
        List<Upstream> candidates = usable.isEmpty() ? listed : usable;
        return prompt.isEmpty() ? leastLoaded(candidates, nowMs) : byPrompt(candidates, prompt, urgent, nowMs);
    }

    private Optional<Upstream> leastLoaded(List<Upstream> candidates, long nowMs) {
        return candidates.stream()
                .min(Comparator.<Upstream>comparingDouble(each -> loadOf(each, nowMs))
                        .thenComparing(each -> each.entry().id()));
    }

    private double loadOf(Upstream upstream, long nowMs) {
        double load = upstream.estimatedRequests(nowMs)
                / (double) Math.max(1, upstream.entry().slots());
        String otherZone = upstream.entry().zone();
        if (otherZone.equals(zone)) {
            return load;
        }
        return load + (isSameRegion(otherZone) ? OTHER_ZONE_LOAD : OTHER_REGION_LOAD);
    }

    private boolean isSameRegion(String otherZone) {
        String region = regionsByZone.getOrDefault(zone, zone);
        return region.equals(regionsByZone.getOrDefault(otherZone, otherZone));
    }

    /**
     * Chooses an engine of the request's lane. When all of the lane are loaded, the least loaded engine of the region
     * takes the request, and when that is overloaded too, the least loaded engine anywhere.
     */
    private Optional<Upstream> byPrompt(List<Upstream> candidates, Prompt prompt, boolean urgent, long nowMs) {
        List<Upstream> near = candidates.stream()
                .filter(each -> isSameRegion(each.entry().zone()))
                .collect(Collectors.toList());
        List<Upstream> region = near.isEmpty() ? candidates : near;
        List<Upstream> lane = prompt.sharedTokens() >= FLEET_WIDE_TOKENS && !urgent
                ? patientLanes(candidates)
                : EngineLanes.lane(region, urgent);
        double mean = lane.stream()
                .mapToInt(each -> each.estimatedRequests(nowMs))
                .average()
                .orElse(0);
        int slots = lane.stream().mapToInt(each -> each.entry().slots()).max().orElse(1);
        double lead = Math.min(ENGINE_LEAD_REQUESTS, slots * ENGINE_LEAD_SHARE);
        double loaded = Math.min(ENGINE_LOADED_REQUESTS, slots * ENGINE_LOADED_SHARE);
        double bound = Math.min(loaded, Math.max(mean + lead, mean * ENGINE_LEAD_RATIO));
        Optional<Upstream> preferred = lane.stream()
                .filter(each -> each.estimatedRequests(nowMs) <= bound)
                .max(Comparator.comparingLong(each ->
                        RendezvousHash.hash(prompt.sharedKey(), each.entry().id())));
        if (preferred.isPresent()) {
            return preferred;
        }
        Optional<Upstream> leastNear = leastRequests(region, nowMs);
        boolean nearOverloaded = leastNear
                .map(each -> each.estimatedRequests(nowMs) > Math.min(ENGINE_OVERLOADED_REQUESTS, slots))
                .orElse(true);
        return nearOverloaded ? leastRequests(candidates, nowMs) : leastNear;
    }

    /** Returns the engines for patient requests of all regions. */
    private List<Upstream> patientLanes(List<Upstream> candidates) {
        return candidates.stream()
                .collect(Collectors.groupingBy(each -> regionsByZone.getOrDefault(
                        each.entry().zone(), each.entry().zone())))
                .values()
                .stream()
                .flatMap(engines -> EngineLanes.lane(engines, false).stream())
                .collect(Collectors.toList());
    }

    private static Optional<Upstream> leastRequests(List<Upstream> engines, long nowMs) {
        return engines.stream()
                .min(Comparator.<Upstream>comparingInt(each -> each.estimatedRequests(nowMs))
                        .thenComparing(each -> each.entry().id()));
    }
}
