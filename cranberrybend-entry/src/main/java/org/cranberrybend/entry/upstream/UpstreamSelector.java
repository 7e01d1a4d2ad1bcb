package org.cranberrybend.entry.upstream;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Selects the upstream of an attempt among the eligible ones: by load for a plain service, with a penalty for other
 * availability zones and regions, and by prompt for a model. Confined to the event loop; a choice builds no lists.
 */
public final class UpstreamSelector {
    /** Upstreams that are looked at for one request; the cost of a choice does not grow beyond. */
    static final int MAX_EXAMINED = 256;

    private final UpstreamTable table;
    private final UpstreamEligibility eligibility;
    private final RandomGenerator random;
    private final LoadSelector byLoad;
    private final EngineSelector byPrompt;
    // Reused for each choice.
    private final UpstreamCandidates usable = new UpstreamCandidates();
    private final UpstreamCandidates lastResort = new UpstreamCandidates();

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
        ZoneDistances distances = new ZoneDistances(zone, regionsByZone);
        this.table = table;
        this.eligibility = eligibility;
        this.random = random;
        this.byLoad = new LoadSelector(distances, instances, random);
        this.byPrompt = new EngineSelector(distances, byLoad);
    }

    /** Returns the upstream for an attempt; empty if none is left. */
    public Optional<Upstream> choose(UpstreamQuery query) {
        List<Upstream> listed = table.ofService(query.service());
        boolean plain = query.prompt().isEmpty();
        long prefixHash = plain ? 0 : query.prompt().sharedPrefixHash();
        boolean sampled = listed.size() > MAX_EXAMINED;
        if (sampled && plain) {
            // A stride spreads the sample over the identifiers, which may begin with the zone.
            examine(listed, random.nextInt(listed.size()), MAX_EXAMINED, listed.size() / MAX_EXAMINED, query);
        } else if (sampled) {
            // Instances examine the same engines for a prefix; an engine that joins or leaves shifts them by one.
            List<Upstream> byHash = table.ofServiceByHash(query.service());
            examine(byHash, positionOf(prefixHash, byHash), MAX_EXAMINED, 1, query);
        }
        if (!sampled || usable.size() == 0) {
            examine(listed, 0, listed.size(), 1, query);
        }
        UpstreamCandidates candidates = usable.size() == 0 ? lastResort : usable;
        if (candidates.size() == 0) {
            return Optional.empty();
        }
        return Optional.of(
                plain ? byLoad.draw(candidates, true, query.nowMs()) : byPrompt.choose(candidates, query, prefixHash));
    }

    /** Returns how many requests were placed at another engine than the first of their order because of its cost. */
    public long placementsMovedByCost() {
        return byPrompt.movedByCost();
    }

    /** Returns how many requests found no engine of their group within the bound. */
    public long placementsOutsideGroup() {
        return byPrompt.outsideGroup();
    }

    /** Returns the position of the first engine whose hash is not below the hash of a prefix. */
    private static int positionOf(long prefixHash, List<Upstream> byHash) {
        int low = 0;
        int high = byHash.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (byHash.get(middle).engine().hash() < prefixHash) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Divides some of the listed upstreams into usable ones, those of the last resort, and the others. */
    private void examine(List<Upstream> listed, int first, int count, int stride, UpstreamQuery query) {
        usable.clear();
        lastResort.clear();
        for (int i = 0; i < count; i++) {
            Upstream each = listed.get((first + i * stride) % listed.size());
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
}
