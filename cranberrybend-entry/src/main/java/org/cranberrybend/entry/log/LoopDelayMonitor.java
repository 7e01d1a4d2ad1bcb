package org.cranberrybend.entry.log;

import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;

/**
 * Measures how late the event loop runs a periodic task. A busy loop reads everything late: requests, the ends of
 * callers' connections, changes of the store. Confined to the event loop.
 */
public final class LoopDelayMonitor implements Runnable {
    /** Delay from which it is logged; callers' deadlines and the bounds of the fleet are several times as long. */
    private static final long LOGGED_DELAY_MS = 300;
    /** Time over which the largest delay is stated. */
    private static final long WINDOW_MS = 10_000;

    private final long intervalMs;
    private final String instance;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private long lastRunMs;
    private long windowStartMs;
    private long largestMs;
    private long largestBeforeMs;

    /**
     * Creates a monitor that has run just now.
     *
     * @param intervalMs interval at which it is run
     */
    public LoopDelayMonitor(long intervalMs, String instance, TimeSource timeSource, DecisionLog log) {
        this.intervalMs = intervalMs;
        this.instance = instance;
        this.timeSource = timeSource;
        this.log = log;
        this.lastRunMs = timeSource.monotonicMs();
        this.windowStartMs = lastRunMs;
    }

    @Override
    public void run() {
        long nowMs = timeSource.monotonicMs();
        long delayMs = Math.max(0, nowMs - lastRunMs - intervalMs);
        lastRunMs = nowMs;
        if (nowMs - windowStartMs >= WINDOW_MS) {
            windowStartMs = nowMs;
            largestBeforeMs = largestMs;
            largestMs = 0;
        }
        largestMs = Math.max(largestMs, delayMs);
        if (delayMs >= LOGGED_DELAY_MS) {
            log.record(EventCode.PAUSE_DETECTED, instance, "event_loop_delay_ms", delayMs);
        }
    }

    /** Returns the largest delay of the last 10 to 20 seconds, in milliseconds. */
    public long largestDelayMs() {
        return Math.max(largestMs, largestBeforeMs);
    }
}
