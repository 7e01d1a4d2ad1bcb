package org.cranberrybend.entry;

import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.HttpServer;

/** Decides when a stopping process may end. Confined to the event loop. */
final class DrainMonitor {
    static final long INTERVAL_MS = 50;

    /** Time in which the balancer notices that the instance is not ready: two questions, one second apart, and slack. */
    private static final long NOTICE_MS = 2_600;
    /** Time that is left for the process to end after its last request. */
    private static final long END_MARGIN_MS = 600;
    /** Time for answers that were written to leave the process. */
    private static final long FLUSH_MS = 150;

    private final HttpServer callers;
    private final TimeSource timeSource;
    private final Runnable onDrained;
    private final long startMs;
    private final long limitMs;
    private long quietSinceMs = -1;
    private boolean idleClosed;

    DrainMonitor(HttpServer callers, TimeSource timeSource, long shutdownLimitMs, Runnable onDrained) {
        this.callers = callers;
        this.timeSource = timeSource;
        this.onDrained = onDrained;
        this.startMs = timeSource.monotonicMs();
        this.limitMs = shutdownLimitMs - END_MARGIN_MS;
    }

    void check() {
        long nowMs = timeSource.monotonicMs();
        if (nowMs - startMs < NOTICE_MS) {
            return;
        }
        if (!idleClosed) {
            idleClosed = true;
            callers.closeGracefully();
        }
        if (callers.activeConnectionCount() > 0) {
            quietSinceMs = -1;
        } else if (quietSinceMs < 0) {
            quietSinceMs = nowMs;
        }
        boolean quiet = quietSinceMs >= 0 && nowMs - quietSinceMs >= FLUSH_MS;
        if (quiet || nowMs - startMs >= limitMs) {
            onDrained.run();
        }
    }
}
