package org.cranberrybend.core.retry;

import java.util.OptionalLong;

/**
 * Maximum number of attempts and exponential backoff with jitter between them.
 *
 * @param maxAttempts attempts of one request, including the first
 * @param baseBackoffMs upper bound of the delay before the second attempt, in milliseconds
 * @param maxBackoffMs upper bound of every delay, in milliseconds
 */
public record RetryPolicy(int maxAttempts, long baseBackoffMs, long maxBackoffMs) {
    /** Policy of the router. After three failed attempts a fourth one rarely succeeds. */
    public static final RetryPolicy DEFAULT = new RetryPolicy(3, 20, 500);

    public RetryPolicy {
        if (maxAttempts < 1 || baseBackoffMs < 0 || maxBackoffMs < baseBackoffMs) {
            throw new IllegalArgumentException("max_attempts must be at least 1 and 0 <= base <= max backoff: "
                    + maxAttempts + ", " + baseBackoffMs + ", " + maxBackoffMs);
        }
    }

    /**
     * Returns the delay before the next attempt in milliseconds, or empty if no further attempt is to be made.
     *
     * <p>The delay is uniformly distributed between 0 and the exponential bound ("full jitter"). With equal delays,
     * requests that failed together would be retried together.
     *
     * @param attemptsMade attempts made so far, at least 1
     * @param jitterRatio random number between 0 (inclusive) and 1 (exclusive)
     * @param nowMs current time in milliseconds, on the clock of the deadline
     * @param deadlineMs deadline of the request; an attempt that would start at or after it is not made
     */
    public OptionalLong nextDelayMs(int attemptsMade, double jitterRatio, long nowMs, long deadlineMs) {
        if (attemptsMade >= maxAttempts) {
            return OptionalLong.empty();
        }
        int doublings = Math.min(attemptsMade - 1, 30);
        long boundMs = Math.min(maxBackoffMs, baseBackoffMs << doublings);
        long delayMs = (long) (boundMs * jitterRatio);
        return nowMs + delayMs < deadlineMs ? OptionalLong.of(delayMs) : OptionalLong.empty();
    }
}
