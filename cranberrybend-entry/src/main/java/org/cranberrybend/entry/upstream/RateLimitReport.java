package org.cranberrybend.entry.upstream;

/**
 * The rate limit of a process of an upstream as known to some instance.
 *
 * @param upstreamId identifier of the upstream
 * @param startedAtMs time of the start of the process in milliseconds since 1970
 * @param requestsPerS requests per second from all instances together; infinite if a limit has ended
 * @param ageMs time since the response that stated it, in milliseconds
 */
public record RateLimitReport(String upstreamId, long startedAtMs, double requestsPerS, long ageMs) {
    public RateLimitReport {
        if (!(requestsPerS >= 0) || ageMs < 0) {
            throw new IllegalArgumentException("rate and age must not be negative: " + requestsPerS + ", " + ageMs);
        }
    }

    /** Returns whether the process stated a limit, rather than that it has none any more. */
    public boolean isLimited() {
        return requestsPerS != RateLimit.NONE;
    }
}
