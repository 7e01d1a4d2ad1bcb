package org.cranberrybend.core.usage;

/**
 * Usage of one key in one window.
 *
 * @param requests number of requests that ended
 * @param promptTokens prompt tokens
 * @param outputTokens output tokens delivered to the caller
 */
public record UsageTotals(long requests, long promptTokens, long outputTokens) {
    /** No usage. */
    public static final UsageTotals NONE = new UsageTotals(0, 0, 0);

    public UsageTotals {
        if (requests < 0 || promptTokens < 0 || outputTokens < 0) {
            throw new IllegalArgumentException("usage must not be negative");
        }
    }

    /** Returns the sum of both totals. */
    public UsageTotals plus(UsageTotals other) {
        return new UsageTotals(
                requests + other.requests, promptTokens + other.promptTokens, outputTokens + other.outputTokens);
    }
}
