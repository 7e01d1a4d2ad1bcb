package org.cranberrybend.entry.configuration;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The regions in which requests may be processed.
 *
 * @param allowed names of the allowed regions; empty if every region is allowed, a set without names if none is
 */
public record RegionConstraint(Optional<Set<String>> allowed) {
    /** Allows every region. */
    public static final RegionConstraint NONE = new RegionConstraint(Optional.empty());

    public RegionConstraint {
        allowed = allowed.map(Set::copyOf);
    }

    /** Returns the constraint of a configured list of regions; a list without names constrains nothing. */
    public static RegionConstraint of(Collection<String> regions) {
        return regions.isEmpty() ? NONE : new RegionConstraint(Optional.of(Set.copyOf(regions)));
    }

    /** Returns the constraint that allows the regions that both allow. */
    public RegionConstraint and(RegionConstraint other) {
        if (allowed.isEmpty() || other.allowed.isEmpty()) {
            return allowed.isEmpty() ? other : this;
        }
        Set<String> both =
                allowed.get().stream().filter(other.allowed.get()::contains).collect(Collectors.toSet());
        return new RegionConstraint(Optional.of(both));
    }

    /** Returns whether a region is allowed. */
    public boolean permits(String region) {
        return allowed.isEmpty() || allowed.get().contains(region);
    }

    /**
     * Returns whether an availability zone is allowed. A zone in no known region is allowed only if every region is.
     *
     * @param regionsByZone region of each availability zone
     */
    public boolean permitsZone(String zone, Map<String, String> regionsByZone) {
        if (allowed.isEmpty()) {
            return true;
        }
        String region = regionsByZone.get(zone);
        return region != null && permits(region);
    }
}
