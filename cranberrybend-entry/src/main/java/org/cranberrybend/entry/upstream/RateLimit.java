package org.cranberrybend.entry.upstream;

import org.cranberrybend.core.rateshare.LimitBound;
import org.cranberrybend.core.rateshare.SliceRate;

/**
 * The rate of requests that one process of an upstream takes from all instances together, as last stated. It holds until
 * a response without a limit, or for {@link #MAX_AGE_MS} without any response. Confined to the event loop.
 */
final class RateLimit {
    /** Rate of a process that states no limit. */
    static final double NONE = Double.POSITIVE_INFINITY;

    /**
     * Age from which a statement that no instance has received again is not relied on. A sender sends once in 10 s at
     * least while there are requests.
     */
    private static final long MAX_AGE_MS = 60_000;
    /** Relative change from which other instances are informed at once. */
    private static final double MATERIAL_CHANGE_RATIO = 0.1;

    private double requestsPerS = NONE;
    /** Monotonic time of the response that the rate was taken from, at whichever instance. */
    private long receivedMs = Long.MIN_VALUE / 2;
    /** The last division of the rate among instances, and their number; null before the first one. */
    private SliceRate division;

    private int dividedAmong;

    /** Records the rate of a response, or that it has none; returns whether the rate has changed materially. */
    boolean record(double statedPerS, long nowMs) {
        double before = requestsPerS;
        requestsPerS = statedPerS;
        division = null;
        receivedMs = nowMs;
        boolean bothLimited = before != NONE && statedPerS != NONE;
        return bothLimited ? Math.abs(statedPerS - before) > before * MATERIAL_CHANGE_RATIO : before != statedPerS;
    }

    /** Returns whether a response to a request that was sent at the given time is later than the last statement. */
    boolean precedes(long sentMs) {
        return sentMs >= receivedMs;
    }

    boolean isInForce(long nowMs) {
        return requestsPerS != NONE && ageMs(nowMs) < MAX_AGE_MS;
    }

    /** Returns the requests per second of all instances together; {@link #NONE} if they are not limited. */
    double requestsPerS() {
        return requestsPerS;
    }

    /** Returns the division of the rate among instances. */
    SliceRate division(LimitBound bound, int instances) {
        if (division == null || dividedAmong != instances) {
            division = SliceRate.ofLimit(requestsPerS, bound, instances);
            dividedAmong = instances;
        }
        return division;
    }

    /** Returns the time since the response that the rate was taken from; more than any limit if there is none. */
    long ageMs(long nowMs) {
        return nowMs - receivedMs;
    }
}
