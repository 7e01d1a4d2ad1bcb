package org.cranberrybend.core.lease;

/**
 * Times of a lease in milliseconds.
 *
 * @param ttlMs duration of the lease
 * @param safetyMarginMs time before the expiry from which the lease is not used, and longest time from a check to the
 *     write that it covers
 * @param writeTimeoutMs longest time that a write made under the lease may take
 */
public record LeaseTimes(long ttlMs, long safetyMarginMs, long writeTimeoutMs) {
    public LeaseTimes {
        if (ttlMs < 1 || safetyMarginMs < 1 || writeTimeoutMs < 1 || safetyMarginMs >= ttlMs) {
            throw new IllegalArgumentException("lease times must be positive and the margin below the duration: "
                    + ttlMs + ", " + safetyMarginMs + ", " + writeTimeoutMs);
        }
    }

    /** Returns how long a new holder waits before its first write, for a predecessor that was paused. */
    public long takeoverDelayMs() {
        return ttlMs + writeTimeoutMs;
    }
}
