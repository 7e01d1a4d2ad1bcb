package org.cranberrybend.standins.platform;

import org.cranberrybend.core.time.TimeSource;

/** Token bucket with a capacity of one second's calls. */
public final class RateLimiter {
    private static final double MS_PER_SECOND = 1_000;

    private final double callsPerSecond;
    private final TimeSource time;
    private double tokens;
    private long lastRefillMs;

    /** Creates a full bucket; a rate of 0 means no limit. */
    public RateLimiter(double callsPerSecond, TimeSource time) {
        this.callsPerSecond = callsPerSecond;
        this.time = time;
        this.tokens = callsPerSecond;
        this.lastRefillMs = time.monotonicMs();
    }

    /** Takes a token for a call and returns true, or returns false if the rate is exceeded. */
    public synchronized boolean tryAcquire() {
        if (callsPerSecond == 0) {
            return true;
        }
        long nowMs = time.monotonicMs();
        tokens = Math.min(callsPerSecond, tokens + (nowMs - lastRefillMs) * callsPerSecond / MS_PER_SECOND);
        lastRefillMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
