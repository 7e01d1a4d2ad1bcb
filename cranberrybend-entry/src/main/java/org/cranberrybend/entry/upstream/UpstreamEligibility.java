package org.cranberrybend.entry.upstream;

import java.util.Map;
import java.util.Optional;
import org.cranberrybend.entry.configuration.RegionConstraint;

/** Decides which upstreams may receive a request at all; which of these is best is decided elsewhere. */
public final class UpstreamEligibility {
    private static final Optional<Exclusion> OTHER_REGION = Optional.of(Exclusion.OTHER_REGION);
    private static final Optional<Exclusion> ZONE_EVACUATED = Optional.of(Exclusion.ZONE_EVACUATED);

    private final Map<String, String> regionsByZone;
    private final ZoneEvacuations evacuations;
    private final SendLimits limits;

    /**
     * Creates the rules.
     *
     * @param regionsByZone region of each availability zone
     * @param evacuations zones whose upstreams receive nothing
     * @param limits limits on the requests of this instance to upstreams
     */
    public UpstreamEligibility(Map<String, String> regionsByZone, ZoneEvacuations evacuations, SendLimits limits) {
        this.regionsByZone = Map.copyOf(regionsByZone);
        this.evacuations = evacuations;
        this.limits = limits;
    }

    /** Returns the reason why an upstream may not receive a request; empty if it may. */
    public Optional<Exclusion> exclusion(Upstream upstream, UpstreamQuery query) {
        if (!upstream.isListedReady()) {
            return Optional.of(Exclusion.LEAVING);
        }
        Optional<Exclusion> ofZone = zoneExclusion(upstream.entry().zone(), query.regions());
        if (ofZone.isPresent()) {
            return ofZone;
        }
        if (!upstream.admitsAfterPause(query.nowMs())) {
            return Optional.of(Exclusion.PAUSED);
        }
        Optional<Exclusion> ofLimits = limits.exclusion(upstream, query.nowMs());
        if (ofLimits.isPresent()) {
            return ofLimits;
        }
        return upstream.accepts(query.nowMs()) ? Optional.empty() : Optional.of(Exclusion.EJECTED);
    }

    /** Returns the reason why no upstream of a zone may receive a request with the given constraint; empty if any may. */
    public Optional<Exclusion> zoneExclusion(String zone, RegionConstraint regions) {
        if (evacuations.isEvacuated(zone)) {
            return ZONE_EVACUATED;
        }
        return regions.permitsZone(zone, regionsByZone) ? Optional.empty() : OTHER_REGION;
    }
}
