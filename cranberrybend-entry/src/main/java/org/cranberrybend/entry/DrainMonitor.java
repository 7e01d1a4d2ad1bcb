package org.cranberrybend.entry;

import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.HttpServer;

/** Decides when a draining process may exit. Confined to the event loop. */
final class DrainMonitor {
    static final long INTERVAL_MS = 50;

    /** Time until the load balancer sees that the instance is not ready: two probes one second apart, and a margin. */
    private static final long READINESS_NOTICE_MS = 2_600;
    /** Time before the shutdown limit that is reserved for the exit of the process. */
    private static final long EXIT_MARGIN_MS = 600;
    /** Time before the limit at which no new connections are accepted any more, so that their requests can finish. */
    private static final long LAST_ACCEPT_MARGIN_MS = 1_500;
    /** Time for written responses to leave the process after the last connection became inactive. */
    private static final long FLUSH_MS = 150;

    private final HttpServer callers;
    private final TimeSource timeSource;
    private final Runnable onDrained;
    private final long startMs;
    private final long limitMs;
    private long inactiveSinceMs = -1;
    private boolean gracefulCloseStarted;

    DrainMonitor(HttpServer callers, TimeSource timeSource, long shutdownLimitMs, Runnable onDrained) {
        this.callers = callers;
        this.timeSource = timeSource;
        this.onDrained = onDrained;
        this.startMs = timeSource.monotonicMs();
        this.limitMs = shutdownLimitMs - EXIT_MARGIN_MS;
    }

    void check() {
        long nowMs = timeSource.monotonicMs();
        if (nowMs - startMs < READINESS_NOTICE_MS) {
            return;
        }
        if (!gracefulCloseStarted) {
            gracefulCloseStarted = true;
            callers.closeGracefully();
        }
        callers.closeIdleConnections();
        if (nowMs - startMs >= limitMs - LAST_ACCEPT_MARGIN_MS) {
            callers.stopListening();
        }
        if (callers.isBusy()) {
            inactiveSinceMs = -1;
        } else if (inactiveSinceMs < 0) {
            inactiveSinceMs = nowMs;
        }
        boolean inactive = inactiveSinceMs >= 0 && nowMs - inactiveSinceMs >= FLUSH_MS;
        if (inactive || nowMs - startMs >= limitMs) {
            // A connection accepted from now on would be cut off by the exit of the process.
            callers.stopListening();
            onDrained.run();
        }
    }
}
