package org.cranberrybend.router.route;

import java.util.Comparator;
import java.util.List;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.wire.node.UpstreamSource;

/**
 * Availability zones that can serve a request, nearest first: the link between regions is slow and billed, so it is
 * used only when nothing nearer can serve.
 */
public final class ZoneCandidates {
    private final String ownZone;
    private final String ownRegion;
    private final UpstreamSource upstreams;

    /** Creates the candidates of a router in the given zone and region. */
    public ZoneCandidates(String ownZone, String ownRegion, UpstreamSource upstreams) {
        this.ownZone = ownZone;
        this.ownRegion = ownRegion;
        this.upstreams = upstreams;
    }

    /**
     * Returns the zones with upstreams for a service: own zone, own region, other regions; by name within each.
     *
     * @throws RequestFailedException with {@link ErrorCode#NO_UPSTREAM} if there is none
     */
    public List<String> zonesFor(String service) throws RequestFailedException {
        List<String> zones = upstreams.upstreams().stream()
                .filter(each -> !each.leaving() && each.services().contains(service))
                .sorted(Comparator.comparingInt(this::distance).thenComparing(Upstream::zone))
                .map(Upstream::zone)
                .distinct()
                .toList();
        if (zones.isEmpty()) {
            throw RequestFailedException.notRun(ErrorCode.NO_UPSTREAM, service);
        }
        return zones;
    }

    private int distance(Upstream upstream) {
        if (upstream.zone().equals(ownZone)) {
            return 0;
        }
        return upstream.region().equals(ownRegion) ? 1 : 2;
    }
}
