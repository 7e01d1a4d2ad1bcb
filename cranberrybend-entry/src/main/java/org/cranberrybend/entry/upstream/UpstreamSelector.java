package org.cranberrybend.entry.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.cranberrybend.core.balancing.BalancedChoice;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.entry.configuration.LatencyClass;

/**
 * Selects the upstream of an attempt.
 *
 * <p>For a plain service, it is drawn among the least loaded upstreams ({@link BalancedChoice}), with a penalty for other
 * availability zones and regions. For a model, it is found by consistent hashing with bounded loads: prompts with the
 * same shared prefix go to the same engine of the region, whose prefix cache then contains it. If the load of that
 * engine exceeds a bound relative to the mean, the next engine in the order of the prefix's rendezvous hash takes its
 * place.
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

    /** Upstreams of a plain service that are looked at for one request; the cost of a choice does not grow beyond. */
    private static final int MAX_EXAMINED = 256;

    private final UpstreamTable table;
    private final UpstreamEligibility eligibility;
    private final String zone;
    private final Map<String, String> regionsByZone;
    private final IntSupplier instances;
    private final RandomGenerator random;
    private final BalancedChoice choice;
    private final EngineGroups groups = new EngineGroups();
    private final Map<String, Double> penaltyByZone = new HashMap<>();
    // Reused for each choice.
    private final UpstreamCandidates usable = new UpstreamCandidates();
    private final UpstreamCandidates lastResort = new UpstreamCandidates();
    private final UpstreamCandidates inRegion = new UpstreamCandidates();
    private final UpstreamCandidates ofRegion = new UpstreamCandidates();
    private final Set<String> regions = new TreeSet<>();
    private final UpstreamCandidates group = new UpstreamCandidates();

    /** Creates a selector for an instance in the given zone of a fleet of unknown size. */
    public UpstreamSelector(
            UpstreamTable table, UpstreamEligibility eligibility, String zone, Map<String, String> regionsByZone) {
        this(table, eligibility, zone, regionsByZone, () -> 0, new SplittableRandom());
    }

    /**
     * Creates a selector for an instance in the given zone.
     *
     * @param instances number of instances that send requests; 0 if unknown
     * @param random source of random numbers, which must differ among instances
     */
    public UpstreamSelector(
            UpstreamTable table,
            UpstreamEligibility eligibility,
            String zone,
            Map<String, String> regionsByZone,
            IntSupplier instances,
            RandomGenerator random) {
        this.table = table;
        this.eligibility = eligibility;
        this.zone = zone;
        this.regionsByZone = Map.copyOf(regionsByZone);
        this.instances = instances;
        this.random = random;
        this.choice = new BalancedChoice(random);
    }

    /** Returns the upstream for an attempt; empty if none is left. */
    public Optional<Upstream> choose(UpstreamQuery query) {
        List<Upstream> listed = table.ofService(query.service());
        boolean sampled = query.prompt().isEmpty() && listed.size() > MAX_EXAMINED;
        if (sampled) {
            examine(listed, random.nextInt(listed.size()), MAX_EXAMINED, query);
        }
        if (!sampled || usable.size() == 0) {
            examine(listed, 0, listed.size(), query);
        }
        UpstreamCandidates candidates = usable.size() == 0 ? lastResort : usable;
        if (candidates.size() == 0) {
            return Optional.empty();
        }
        return Optional.of(
                query.prompt().isEmpty()
                        ? drawByLoad(candidates, true, query.nowMs())
                        : chooseEngine(candidates, query.prompt(), query.latencyClass(), query.nowMs()));
    }

    /** Divides some of the listed upstreams into usable ones, those of the last resort, and the others. */
    private void examine(List<Upstream> listed, int first, int count, UpstreamQuery query) {
        usable.clear();
        lastResort.clear();
        // A stride spreads a sample over the identifiers, which may begin with the zone.
        int stride = Math.max(1, listed.size() / Math.max(1, count));
        for (int i = 0; i < count; i++) {
            Upstream each = listed.get((int) ((first + (long) i * stride) % listed.size()));
            if (!query.excluded().isEmpty()
                    && query.excluded().contains(each.entry().id())) {
                continue;
            }
            Optional<Exclusion> exclusion = eligibility.exclusion(each, query);
            if (exclusion.isEmpty()) {
                usable.add(each);
            } else if (exclusion.get().isIgnoredAsLastResort()) {
                lastResort.add(each);
            }
        }
    }

    /**
     * Draws an upstream among the least loaded ones, as far as their load is known. Only arrivals at the upstreams that
     * are nearest to this instance count: instances of other zones fill those of their own zones.
     */
    private Upstream drawByLoad(UpstreamCandidates candidates, boolean penalized, long nowMs) {
        if (!candidates.get(0).load().service().isReported()) {
            return leastRunning(candidates, penalized);
        }
        int fleet = instances.getAsInt();
        double leastPenalty = Double.MAX_VALUE;
        for (int i = 0; i < candidates.size(); i++) {
            leastPenalty = Math.min(leastPenalty, penalized ? penalty(candidates.get(i)) : 0);
        }
        choice.clear();
        for (int i = 0; i < candidates.size(); i++) {
            Upstream each = candidates.get(i);
            int slots = Math.max(1, each.entry().slots());
            double penalty = penalized ? penalty(each) : 0;
            double arrivals = penalty > leastPenalty ? 0 : each.load().arrivalsUntilNextReport(slots, fleet, nowMs);
            choice.add(each.load().remainingRequests(nowMs) / slots + penalty, slots, arrivals);
        }
        return candidates.get(choice.draw());
    }

    /** Returns the first of the upstreams with the fewest requests of this process per slot. */
    private Upstream leastRunning(UpstreamCandidates candidates, boolean penalized) {
        Upstream best = null;
        double least = 0;
        for (int i = 0; i < candidates.size(); i++) {
            Upstream each = candidates.get(i);
            double load = each.running() / (double) Math.max(1, each.entry().slots());
            double cost = penalized ? load + penalty(each) : load;
            if (best == null || cost < least) {
                best = each;
                least = cost;
            }
        }
        return best;
    }

    private double penalty(Upstream upstream) {
        String otherZone = upstream.entry().zone();
        Double known = penaltyByZone.get(otherZone);
        if (known == null) {
            known = penaltyOfZone(otherZone);
            penaltyByZone.put(otherZone, known);
        }
        return known;
    }

    private double penaltyOfZone(String otherZone) {
        if (otherZone.equals(zone)) {
            return 0;
        }
        return regionOf(zone).equals(regionOf(otherZone)) ? OTHER_ZONE_PENALTY : OTHER_REGION_PENALTY;
    }

    private String regionOf(String anyZone) {
        return regionsByZone.getOrDefault(anyZone, anyZone);
    }

    private boolean isSameRegion(Upstream upstream) {
        return penalty(upstream) < OTHER_REGION_PENALTY;
    }

    /**
     * Selects an engine of the request's group by hash. If all engines of the group exceed the bound, one of the least
     * loaded engines of the region is used, or if that is overloaded, one of all regions.
     */
    private Upstream chooseEngine(UpstreamCandidates candidates, Prompt prompt, LatencyClass latencyClass, long nowMs) {
        inRegion.clear();
        for (int i = 0; i < candidates.size(); i++) {
            if (isSameRegion(candidates.get(i))) {
                inRegion.add(candidates.get(i));
            }
        }
        UpstreamCandidates region = inRegion.size() == 0 ? candidates : inRegion;
        group.clear();
        if (prompt.sharedPrefixTokens() >= MIN_FLEET_WIDE_PREFIX_TOKENS && latencyClass != LatencyClass.SENSITIVE) {
            addGroupsOfAllRegions(candidates, latencyClass);
        } else {
            groups.addGroup(region, latencyClass, group);
        }
        double total = 0;
        int slots = 1;
        for (int i = 0; i < group.size(); i++) {
            total += group.get(i).expectedRequests(nowMs);
            slots = Math.max(slots, group.get(i).entry().slots());
        }
        double mean = total / group.size();
        double maxExcess = Math.min(MAX_EXCESS_REQUESTS, slots * MAX_EXCESS_SLOT_RATIO);
        double maxRequests = Math.min(MAX_PREFERRED_REQUESTS, slots * MAX_PREFERRED_SLOT_RATIO);
        double bound = Math.min(maxRequests, Math.max(mean + maxExcess, mean * MAX_EXCESS_RATIO));
        Upstream preferred = highestHash(group, prompt.sharedPrefixHash(), bound, nowMs);
        if (preferred != null) {
            return preferred;
        }
        Upstream inThisRegion = drawByLoad(region, false, nowMs);
        boolean regionOverloaded = inThisRegion.expectedRequests(nowMs) > Math.min(OVERLOADED_REQUESTS, slots);
        return regionOverloaded ? drawByLoad(candidates, false, nowMs) : inThisRegion;
    }

    /** Returns the engine within the bound that is first in the order of a prefix; null if there is none. */
    private static Upstream highestHash(UpstreamCandidates engines, long prefixHash, double bound, long nowMs) {
        Upstream preferred = null;
        long highest = 0;
        for (int i = 0; i < engines.size(); i++) {
            Upstream each = engines.get(i);
            long hash = RendezvousHash.combine(prefixHash, each.engine().hash());
            if ((preferred == null || hash > highest) && each.expectedRequests(nowMs) <= bound) {
                preferred = each;
                highest = hash;
            }
        }
        return preferred;
    }

    /** Adds to the group the engines that serve requests of a latency class in any region. */
    private void addGroupsOfAllRegions(UpstreamCandidates candidates, LatencyClass latencyClass) {
        regions.clear();
        for (int i = 0; i < candidates.size(); i++) {
            regions.add(regionOf(candidates.get(i).entry().zone()));
        }
        for (String region : regions) {
            ofRegion.clear();
            for (int i = 0; i < candidates.size(); i++) {
                if (regionOf(candidates.get(i).entry().zone()).equals(region)) {
                    ofRegion.add(candidates.get(i));
                }
            }
            groups.addGroup(ofRegion, latencyClass, group);
        }
    }
}
