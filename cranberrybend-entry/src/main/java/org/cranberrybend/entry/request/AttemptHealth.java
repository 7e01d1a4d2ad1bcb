package org.cranberrybend.entry.request;

import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.upstream.Upstream;

/** Decides whether an attempt on a route makes so little progress that the request should move to another upstream. */
final class AttemptHealth {
    /** Shortest time without an event after which a stream counts as stalled. */
    private static final long MIN_STALL_MS = 1_500;
    /** Multiple of the route's target for pauses between events after which a stream counts as stalled. */
    private static final long STALL_GAP_RATIO = 4;

    private final Route route;

    AttemptHealth(Route route) {
        this.route = route;
    }

    /**
     * Returns whether an upstream sends nothing to this process. On a route without streaming, an upstream that
     * executes a single request of this process is not considered: a plain service may take long for one request
     * without sending a byte. A stream that has begun may pause for as long as its route allows.
     */
    boolean isUnresponsive(UpstreamAttempt attempt, long nowMs) {
        Upstream upstream = attempt.upstream();
        boolean sendsRegularly = route.streaming() || upstream.running() > 1;
        long allowedPauseMs = attempt.hasEvents() ? 2 * route.eventGapTargetMs() : attempt.firstEventTimeoutMs();
        return sendsRegularly && upstream.isUnresponsiveSince(attempt.sentMs(), allowedPauseMs, nowMs);
    }

    /** Returns whether a stream that has begun sends no complete event for too long. */
    boolean isStalled(UpstreamAttempt attempt, long nowMs) {
        return attempt.isStalled(Math.max(MIN_STALL_MS, STALL_GAP_RATIO * route.eventGapTargetMs()), nowMs);
    }
}
