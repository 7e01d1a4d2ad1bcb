package org.cranberrybend.core.retry;

import java.util.OptionalLong;

/**
 * Number of attempts and jittered exponential backoff between them.
 *
 * @param maxAttempts attempts of one request, the first included
 * @param baseBackoffMs upper bound of the delay before the second attempt, in milliseconds
 * @param maxBackoffMs upper bound of every delay, in milliseconds
 */
public record RetryPolicy(int maxAttempts, long baseBackoffMs, long maxBackoffMs) {
    /** Policy of the router: a third failure in a row is rarely cured by a fourth attempt. */
    public static final RetryPolicy DEFAULT = new RetryPolicy(3, 20, 500);

    public RetryPolicy {
        if (maxAttempts < 1 || baseBackoffMs < 0 || maxBackoffMs < baseBackoffMs) {
            throw new IllegalArgumentException("max_attempts must be at least 1 and 0 <= base <= max backoff: "
                    + maxAttempts + ", " + baseBackoffMs + ", " + maxBackoffMs);
        }
    }

    /**
     * Returns the delay before the next attempt in milliseconds, or empty if there is none.
     *
     * <p>The delay is uniform between 0 and the exponential bound ("full jitter"), because equal delays would send the
     * requests that failed together to the upstreams together again.
     *
     * @param attemptsMade attempts made so far, at least 1
     * @param jitterRatio random number between 0 (inclusive) and 1 (exclusive)
     * @param nowMs clock of the deadline in milliseconds
     * @param deadlineMs when the request is given up; an attempt that would start at or after it is not made
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
