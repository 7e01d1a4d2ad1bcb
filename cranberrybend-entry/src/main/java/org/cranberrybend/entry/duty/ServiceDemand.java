package org.cranberrybend.entry.duty;

import java.util.List;
import java.util.OptionalInt;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * Estimates how many requests of all instances are in progress at the upstreams of one service.
 *
 * <p>An instance hears an upstream's figures only with its own responses, in a large fleet those of a part of the
 * upstreams at a time. The others are taken to carry the mean of that part. The largest estimate of the last seconds
 * holds, because upstreams that are given back between two bursts take seconds to start again.
 */
final class ServiceDemand {
    private static final long PEAK_KEPT_MS = 10_000;
    /** Upstreams wanted in each zone in any case, so that a burst or a lost zone meets free ones. */
    private static final int BASE_PER_ZONE = 4;
    /** Slots wanted in any case for each running instance: the number of instances follows the usual traffic. */
    private static final double BASE_SLOTS_PER_INSTANCE = 32;

    private int peak;
    private long peakAtMs = Long.MIN_VALUE / 2;

    /** Returns the requests in progress, at least as many as in any call of the last seconds. */
    int requests(List<Upstream> upstreams, long nowMs) {
        int estimate = estimate(upstreams, nowMs);
        if (estimate >= peak || nowMs - peakAtMs > PEAK_KEPT_MS) {
            peak = estimate;
            peakAtMs = nowMs;
        }
        return peak;
    }

    /**
     * Returns the upstreams of a zone that are wanted without regard to the present load.
     *
     * @param instances running instances
     * @param slots requests that one engine runs at the same time; 0 if not known
     */
    static int basePerZone(int instances, int slots, int zones) {
        double engines = slots == 0 ? 0 : instances * BASE_SLOTS_PER_INSTANCE / slots;
        return Math.max(BASE_PER_ZONE, (int) Math.ceil(engines / zones));
    }

    private static int estimate(List<Upstream> upstreams, long nowMs) {
        int heard = 0;
        long reported = 0;
        int own = 0;
        for (Upstream upstream : upstreams) {
            OptionalInt requests = upstream.recentlyReportedRequests(nowMs);
            own += upstream.running();
            if (requests.isPresent()) {
                heard++;
                reported += Math.max(requests.getAsInt(), upstream.running());
            }
        }
        return heard == 0 ? own : (int) Math.max(own, Math.round((double) reported * upstreams.size() / heard));
    }
}
