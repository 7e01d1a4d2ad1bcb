package org.cranberrybend.entry;

import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.request.RequestsInProgress;

/** Decides when a draining process may exit. Confined to the event loop. */
final class DrainMonitor {
    static final long INTERVAL_MS = 50;

    /** Time until the load balancer sees that the instance is not ready: two probes one second apart, and a margin. */
    private static final long READINESS_NOTICE_MS = 2_600;
    /** Time before the shutdown limit that is reserved for the exit of the process. */
    private static final long EXIT_MARGIN_MS = 600;
    /** Time after which no further request is taken: it might not finish before the shutdown limit. */
    private static final long LAST_REQUEST_MS = 2_900;
    /** Time without a request after which a connection is closed before that; a request may be on its way. */
    private static final long MIN_IDLE_BEFORE_CLOSE_MS = 250;
    /** Time for written responses to leave the process after the last connection became inactive. */
    private static final long FLUSH_MS = 150;

    /** Time before the end of the drain for the responses of requests that are ended by it. */
    private static final long LAST_RESPONSE_MS = 250;

    private final HttpServer callers;
    private final RequestsInProgress requests;
    private final TimeSource timeSource;
    private final Runnable onDrained;
    private final long startMs;
    private final long limitMs;
    private long inactiveSinceMs = -1;
    private boolean gracefulCloseStarted;

    DrainMonitor(
            HttpServer callers,
            RequestsInProgress requests,
            TimeSource timeSource,
            long shutdownLimitMs,
            Runnable onDrained) {
        this.callers = callers;
        this.requests = requests;
        this.timeSource = timeSource;
        this.onDrained = onDrained;
        this.startMs = timeSource.monotonicMs();
        this.limitMs = shutdownLimitMs - EXIT_MARGIN_MS;
    }

    void check() {
        long elapsedMs = timeSource.monotonicMs() - startMs;
        if (elapsedMs < READINESS_NOTICE_MS) {
            return;
        }
        if (gracefulCloseStarted) {
            // The event loop has accepted the connections of the backlog since the first check.
            callers.stopListening();
        } else {
            gracefulCloseStarted = true;
            callers.closeGracefully();
        }
        if (elapsedMs >= LAST_REQUEST_MS) {
            // A request that is still being received may arrive completely at any later time.
            requests.refuseNew();
        }
        if (elapsedMs >= limitMs - LAST_RESPONSE_MS) {
            requests.endAll();
        }
        long minIdleMs = elapsedMs < LAST_REQUEST_MS ? MIN_IDLE_BEFORE_CLOSE_MS : 0;
        callers.closeIdleConnections(minIdleMs);
        if (callers.isBusy(minIdleMs)) {
            inactiveSinceMs = -1;
        } else if (inactiveSinceMs < 0) {
            inactiveSinceMs = elapsedMs;
        }
        boolean inactive = inactiveSinceMs >= 0 && elapsedMs - inactiveSinceMs >= FLUSH_MS;
        if (inactive || elapsedMs >= limitMs) {
            // A connection accepted from now on would be cut off by the exit of the process.
            callers.stopListening();
            onDrained.run();
        }
    }
}
