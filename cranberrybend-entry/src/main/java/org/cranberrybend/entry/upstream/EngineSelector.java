package org.cranberrybend.entry.upstream;

import java.util.Set;
import java.util.TreeSet;
import org.cranberrybend.core.engine.PlacementChoice;
import org.cranberrybend.entry.configuration.LatencyClass;

/**
 * Selects the engine of a request with a prompt by consistent hashing with bounded loads: prompts with the same shared
 * prefix go to the same engine of the region, whose prefix cache then contains it. If the load of that engine exceeds a
 * bound relative to the mean of its group, the next engines in the order of the prefix's rendezvous hash take its place.
 *
 * <p>Among the first engines of the order, the expected cost decides as soon as the engines of the service have been
 * observed ({@link PlacementChoice}); before that, the first one is chosen.
 */
final class EngineSelector {
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

    private final ZoneDistances distances;
    private final LoadSelector byLoad;
    private final EngineGroups groups = new EngineGroups();
    private final PlacementChoice placement = new PlacementChoice();
    // Reused for each choice.
    private final UpstreamCandidates inRegion = new UpstreamCandidates();
    private final UpstreamCandidates ofRegion = new UpstreamCandidates();
    private final UpstreamCandidates group = new UpstreamCandidates();
    private final Set<String> regions = new TreeSet<>();
    private long movedByCost;
    private long outsideGroup;

    EngineSelector(ZoneDistances distances, LoadSelector byLoad) {
        this.distances = distances;
        this.byLoad = byLoad;
    }

    /**
     * Selects an engine of the request's group by hash. If all engines of the group have too many requests, one of the
     * region is selected, or if that is overloaded, one of another region that is not.
     *
     * @param candidates at least one engine
     */
    Upstream choose(UpstreamCandidates candidates, UpstreamQuery query, long prefixHash) {
        Prompt prompt = query.prompt();
        LatencyClass latencyClass = query.latencyClass();
        inRegion.clear();
        for (int i = 0; i < candidates.size(); i++) {
            if (distances.isSameRegion(candidates.get(i))) {
                inRegion.add(candidates.get(i));
            }
        }
        UpstreamCandidates region = inRegion.size() == 0 ? candidates : inRegion;
        group.clear();
        if (prompt.sharedPrefixTokens() >= MIN_FLEET_WIDE_PREFIX_TOKENS && !latencyClass.isSensitive()) {
            addGroupsOfAllRegions(candidates, latencyClass);
        } else {
            groups.addGroup(region, latencyClass, group);
        }
        Upstream preferred = firstInOrder(group, true, query, prefixHash);
        if (preferred != null) {
            return preferred;
        }
        outsideGroup++;
        // A prompt that leaves its group keeps to the order of its prefix: if loaded engines received prompts whatever
        // their prefixes, the prefill of these would load them further.
        boolean learned = region.get(0).engine().estimator().service().isLearned();
        Upstream inThisRegion =
                learned ? firstInOrder(region, false, query, prefixHash) : byLoad.draw(region, false, query.nowMs());
        if (region.size() == candidates.size() || !isOverloaded(inThisRegion, query.nowMs())) {
            return inThisRegion;
        }
        // Between regions that are all overloaded a move gains nothing, and the requests would fill the link on which
        // configurations and aborted requests travel, too.
        Upstream anywhere = byLoad.draw(candidates, false, query.nowMs());
        return isOverloaded(anywhere, query.nowMs()) ? inThisRegion : anywhere;
    }

    private static boolean isOverloaded(Upstream engine, long nowMs) {
        return engine.expectedRequests(nowMs)
                > Math.min(OVERLOADED_REQUESTS, engine.entry().slots());
    }

    /** Returns how many requests were placed at another engine than the first of their order because of its cost. */
    long movedByCost() {
        return movedByCost;
    }

    /** Returns how many requests found no engine of their group within the bound. */
    long outsideGroup() {
        return outsideGroup;
    }

    /**
     * Returns the engine of least cost among the first ones within the bound in the order of a prefix; null if there is
     * none within the bound.
     *
     * @param capped whether the bound has an upper limit, whatever the mean; without it, some engine is within the bound
     */
    private Upstream firstInOrder(UpstreamCandidates engines, boolean capped, UpstreamQuery query, long prefixHash) {
        long nowMs = query.nowMs();
        double bound = bound(engines, capped, nowMs);
        placement.begin(query.targetLatencyMs(), query.eventGapTargetMs(), prefixHash, nowMs);
        for (int i = 0; i < engines.size(); i++) {
            if (engines.get(i).expectedRequests(nowMs) <= bound) {
                placement.consider(i, engines.get(i).engine().hash());
            }
        }
        if (placement.size() == 0) {
            return null;
        }
        if (!engines.get(0).engine().estimator().service().isLearned()) {
            return engines.get(placement.position(0));
        }
        for (int i = 0; i < placement.size(); i++) {
            Upstream each = engines.get(placement.position(i));
            EngineState engine = each.engine();
            int slots = each.entry().slots();
            int uncached = engine.uncachedTokens(query.prompt(), prefixHash, nowMs);
            placement.rate(i, engine.estimator(), engine.expectedLoad(slots, nowMs), slots, uncached);
        }
        int chosen = placement.choose();
        if (chosen != placement.position(0)) {
            movedByCost++;
        }
        return engines.get(chosen);
    }

    private static double bound(UpstreamCandidates engines, boolean capped, long nowMs) {
        double total = 0;
        int slots = 1;
        for (int i = 0; i < engines.size(); i++) {
            total += engines.get(i).expectedRequests(nowMs);
            slots = Math.max(slots, engines.get(i).entry().slots());
        }
        double mean = total / engines.size();
        double maxExcess = Math.min(MAX_EXCESS_REQUESTS, slots * MAX_EXCESS_SLOT_RATIO);
        double relative = Math.max(mean + maxExcess, mean * MAX_EXCESS_RATIO);
        return capped
                ? Math.min(Math.min(MAX_PREFERRED_REQUESTS, slots * MAX_PREFERRED_SLOT_RATIO), relative)
                : relative;
    }

    /** Adds to the group the engines that serve requests of a latency class in any region. */
    private void addGroupsOfAllRegions(UpstreamCandidates candidates, LatencyClass latencyClass) {
        regions.clear();
        for (int i = 0; i < candidates.size(); i++) {
            regions.add(distances.region(candidates.get(i)));
        }
        for (String region : regions) {
            ofRegion.clear();
            for (int i = 0; i < candidates.size(); i++) {
                if (distances.region(candidates.get(i)).equals(region)) {
                    ofRegion.add(candidates.get(i));
                }
            }
            groups.addGroup(ofRegion, latencyClass, group);
        }
    }
}
