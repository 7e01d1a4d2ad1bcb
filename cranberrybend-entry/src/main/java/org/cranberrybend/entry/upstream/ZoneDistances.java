package org.cranberrybend.entry.upstream;

import java.util.HashMap;
import java.util.Map;

/** How far the availability zones are from the zone of this instance, in requests per slot. */
final class ZoneDistances {
    /** Load added to an upstream in another availability zone of the region. */
    private static final double OTHER_ZONE_PENALTY = 0.15;
    /** Load added to an upstream in another region. */
    private static final double OTHER_REGION_PENALTY = 0.8;

    private final String zone;
    private final Map<String, String> regionsByZone;
    private final Map<String, Double> penaltyByZone = new HashMap<>();

    ZoneDistances(String zone, Map<String, String> regionsByZone) {
        this.zone = zone;
        this.regionsByZone = Map.copyOf(regionsByZone);
    }

    double penalty(Upstream upstream) {
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
        return regionOfZone(zone).equals(regionOfZone(otherZone)) ? OTHER_ZONE_PENALTY : OTHER_REGION_PENALTY;
    }

    boolean isSameRegion(Upstream upstream) {
        return penalty(upstream) < OTHER_REGION_PENALTY;
    }

    String region(Upstream upstream) {
        return regionOfZone(upstream.entry().zone());
    }

    private String regionOfZone(String anyZone) {
        return regionsByZone.getOrDefault(anyZone, anyZone);
    }
}
