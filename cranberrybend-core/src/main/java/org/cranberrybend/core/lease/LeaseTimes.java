package org.cranberrybend.core.lease;

/**
 * Timing parameters of a lease, in milliseconds.
 *
 * @param ttlMs time to live of the lease
 * @param safetyMarginMs time before the expiry in which the lease is no longer used, and maximum time from a check to
 *     the start of a write that it covers
 * @param writeTimeoutMs maximum duration of a write under the lease
 */
public record LeaseTimes(long ttlMs, long safetyMarginMs, long writeTimeoutMs) {
    public LeaseTimes {
        if (ttlMs < 1 || safetyMarginMs < 1 || writeTimeoutMs < 1 || safetyMarginMs >= ttlMs) {
            throw new IllegalArgumentException("lease times must be positive and the margin below the duration: "
                    + ttlMs + ", " + safetyMarginMs + ", " + writeTimeoutMs);
        }
    }

    /** Returns how long a new lease holder waits before its first write, in case its predecessor was paused. */
    public long takeoverDelayMs() {
        return ttlMs + writeTimeoutMs;
    }
}
