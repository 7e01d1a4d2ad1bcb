package org.cranberrybend.entry.duty;

import java.util.List;
import java.util.OptionalInt;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * Estimates how many requests of all instances are in flight at the upstreams of one service.
 *
 * <p>Load reports come with responses, so in a large fleet an instance has recent reports of only some of the
 * upstreams; the others are assumed to carry their mean load. The estimate is the peak of the last seconds, because
 * upstreams that are released between two bursts take seconds to start again.
 */
final class ServiceDemand {
    private static final long PEAK_HOLD_MS = 10_000;
    /** Upstreams of each zone that are always kept, as reserve for a burst or for the loss of a zone. */
    private static final int MIN_BASE_PER_ZONE = 4;
    /** Slots that are always kept for each running instance; the number of instances reflects the usual traffic. */
    private static final double BASE_SLOTS_PER_INSTANCE = 32;

    private int peak;
    private long peakAtMs = Long.MIN_VALUE / 2;

    /** Returns the largest estimate of in-flight requests of the last seconds. */
    int peakRequests(List<Upstream> upstreams, long nowMs) {
        return peakRequests(upstreams, List.of(), nowMs);
    }

    /**
     * Returns the largest estimate of in-flight requests of the last seconds.
     *
     * @param upstreams upstreams that may receive requests
     * @param evacuated upstreams that receive nothing; those without a recent report count as empty
     */
    int peakRequests(List<Upstream> upstreams, List<Upstream> evacuated, long nowMs) {
        int estimate = estimate(upstreams, nowMs);
        for (Upstream upstream : evacuated) {
            estimate += Math.max(
                    upstream.running(), upstream.recentlyReportedRequests(nowMs).orElse(0));
        }
        if (estimate >= peak || nowMs - peakAtMs > PEAK_HOLD_MS) {
            peak = estimate;
            peakAtMs = nowMs;
        }
        return peak;
    }

    /**
     * Returns the number of upstreams of a zone that are kept whatever the load.
     *
     * @param instances running instances
     * @param slots concurrent requests of one engine; 0 if not known
     */
    static int basePerZone(int instances, int slots, int zones) {
        double engines = slots == 0 ? 0 : instances * BASE_SLOTS_PER_INSTANCE / slots;
        return Math.max(MIN_BASE_PER_ZONE, (int) Math.ceil(engines / zones));
    }

    private static int estimate(List<Upstream> upstreams, long nowMs) {
        int reporting = 0;
        long reported = 0;
        int own = 0;
        for (Upstream upstream : upstreams) {
            OptionalInt requests = upstream.recentlyReportedRequests(nowMs);
            own += upstream.running();
            if (requests.isPresent()) {
                reporting++;
                reported += Math.max(requests.getAsInt(), upstream.running());
            }
        }
        return reporting == 0 ? own : (int) Math.max(own, Math.round((double) reported * upstreams.size() / reporting));
    }
}
