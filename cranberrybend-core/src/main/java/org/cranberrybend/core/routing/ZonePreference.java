package org.cranberrybend.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The order in which an entry router tries availability zones: its own, then those of its region, then those of other
 * regions while the budget of the link between regions lasts.
 *
 * <p>Edge cases: zones of equal rank are ordered by rendezvous hashing of the pair of zones, so that the zones of a region
 * do not all spill over to the same one; the own zone is tried even if its region is not known.
 */
public final class ZonePreference {
    private final String ownZone;
    private final String ownRegion;
    private final LinkBudget linkBudget;

    /** Creates the preference of a router in the given zone and region. */
    public ZonePreference(String ownZone, String ownRegion, LinkBudget linkBudget) {
        this.ownZone = ownZone;
        this.ownRegion = ownRegion;
        this.linkBudget = linkBudget;
    }

    /**
     * Returns the zones to try, most preferred first. The budget is only looked at; the router takes the bytes with
     * {@link LinkBudget#tryAcquire} once it sends to another region.
     *
     * @param regionByZone region of each zone that has the upstreams wanted
     * @param expectedBytes bytes of the request and its response
     * @param nowMs present time
     */
    public List<String> order(Map<String, String> regionByZone, long expectedBytes, long nowMs) {
        boolean linkAllowed = linkBudget.allows(expectedBytes, nowMs);
        List<String> zones = new ArrayList<>();
        regionByZone.forEach((zone, region) -> {
            if (linkAllowed || rank(zone, region) < 2) {
                zones.add(zone);
            }
        });
        zones.sort(Comparator.<String>comparingInt(zone -> rank(zone, regionByZone.get(zone)))
                .thenComparing(Comparator.<String>comparingLong(zone -> RendezvousHash.hash(ownZone, zone))
                        .reversed())
                .thenComparing(Comparator.naturalOrder()));
        return zones;
    }

    /** Returns whether sending to a zone uses the link between regions. */
    public boolean usesLink(String zone, String region) {
        return rank(zone, region) == 2;
    }

    private int rank(String zone, String region) {
        if (zone.equals(ownZone)) {
            return 0;
        }
        return region.equals(ownRegion) ? 1 : 2;
    }
}
