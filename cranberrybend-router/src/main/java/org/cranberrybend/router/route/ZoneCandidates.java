package org.cranberrybend.router.route;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.routing.LinkBudget;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.ZonePreference;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.wire.node.UpstreamSource;

/**
 * Availability zones that can serve a request, nearest first. The inter-region link is slow and billed, so other
 * regions come last and are included only within this router's byte budget.
 */
public final class ZoneCandidates {
    private final UpstreamSource upstreams;
    private final TimeSource timeSource;
    private final Object budgetLock = new Object();
    private final LinkBudget budget;
    private final ZonePreference preference;

    /**
     * Creates the candidate selection of a router in the given zone and region.
     *
     * @param linkBytesPerSecond bytes per second that this router may send and receive over the inter-region link
     * @param linkBurstBytes burst size of the budget, in bytes
     */
    public ZoneCandidates(
            String ownZone,
            String ownRegion,
            UpstreamSource upstreams,
            TimeSource timeSource,
            long linkBytesPerSecond,
            long linkBurstBytes) {
        this.upstreams = upstreams;
        this.timeSource = timeSource;
        this.budget = new LinkBudget(linkBytesPerSecond, linkBurstBytes, timeSource.monotonicMs());
        this.preference = new ZonePreference(ownZone, ownRegion, budget);
    }

    /**
     * Returns the zones with upstreams for a service: own zone, own region, then other regions if the budget allows.
     *
     * @param expectedBytes estimated bytes of the request and its response
     * @throws RequestFailedException with {@link ErrorCode#NO_UPSTREAM} if there is no such zone
     */
    public List<String> zonesFor(String service, long expectedBytes) throws RequestFailedException {
        Map<String, String> regionByZone = new TreeMap<>();
        for (Upstream upstream : upstreams.upstreams()) {
            if (!upstream.leaving() && upstream.services().contains(service)) {
                regionByZone.put(upstream.zone(), upstream.region());
            }
        }
        List<String> zones;
        synchronized (budgetLock) {
            zones = preference.order(regionByZone, expectedBytes, timeSource.monotonicMs());
        }
        if (zones.isEmpty()) {
            throw RequestFailedException.notRun(ErrorCode.NO_UPSTREAM, service);
        }
        return zones;
    }

    /** Charges the estimated bytes of a request to the link budget; requests within the region are not charged. */
    public LinkCharge charge(Upstream upstream, long expectedBytes) {
        if (!preference.usesLink(upstream.zone(), upstream.region())) {
            return LinkCharge.NONE;
        }
        adjustBudget(expectedBytes);
        return actualBytes -> adjustBudget(actualBytes - expectedBytes);
    }

    private void adjustBudget(long bytes) {
        synchronized (budgetLock) {
            budget.adjust(bytes, timeSource.monotonicMs());
        }
    }
}
