package org.cranberrybend.entry.upstream;

import java.util.List;
import org.cranberrybend.core.admission.ServiceOccupancy;

/** Reads how full the upstreams are that may receive a request. Confined to the event loop. */
public final class OccupancyReader {
    /** Upstreams of a service that are looked at; the cost does not grow beyond. */
    private static final int MAX_EXAMINED = 256;

    private final UpstreamTable table;
    private final UpstreamEligibility eligibility;
    private int first;
    private Upstream leastLoaded;

    /** Creates a reader of the listed upstreams. */
    public OccupancyReader(UpstreamTable table, UpstreamEligibility eligibility) {
        this.table = table;
        this.eligibility = eligibility;
    }

    /** Returns whether an upstream is full as far as known. */
    public static boolean isFull(Upstream upstream, long nowMs) {
        return ServiceOccupancy.isFull(
                upstream.expectedRequests(nowMs),
                upstream.entry().slots(),
                upstream.load().reportAgeMs(nowMs));
    }

    /**
     * Reads the occupancy of the upstreams that may receive a request. It ends at the first one with room, since nothing
     * else matters then; each reading begins at another upstream, so that one with room is found soon.
     */
    public void read(UpstreamQuery query, ServiceOccupancy occupancy) {
        List<Upstream> listed = table.ofService(query.service());
        occupancy.clear(table.serviceModels().load(query.service()).observedDurationMs());
        leastLoaded = null;
        if (listed.isEmpty()) {
            return;
        }
        first = (first + 1) % listed.size();
        int count = Math.min(MAX_EXAMINED, listed.size());
        int stride = listed.size() / count;
        double leastPerSlot = Double.MAX_VALUE;
        for (int i = 0; i < count; i++) {
            Upstream each = listed.get((first + i * stride) % listed.size());
            if (eligibility.exclusion(each, query).isPresent()) {
                continue;
            }
            double expected = each.expectedRequests(query.nowMs());
            int slots = Math.max(1, each.entry().slots());
            long ageMs = each.load().reportAgeMs(query.nowMs());
            occupancy.add(expected, each.running(), slots, ageMs);
            if (expected / slots < leastPerSlot) {
                leastPerSlot = expected / slots;
                leastLoaded = each;
            }
            if (!ServiceOccupancy.isFull(expected, slots, ageMs)) {
                return;
            }
        }
    }

    /** Returns the least loaded upstream of the last reading; null if no upstream may receive the request. */
    public Upstream leastLoaded() {
        return leastLoaded;
    }
}
