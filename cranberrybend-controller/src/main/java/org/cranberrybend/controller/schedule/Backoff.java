package org.cranberrybend.controller.schedule;

import org.apache.commons.rng.UniformRandomProvider;

/** Exponential backoff with jitter, so that controllers do not retry simultaneously after an outage. */
public final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private final long baseMs;
    private final long maxMs;
    private final UniformRandomProvider random;
    private int failures;

    /** Creates a backoff whose delay starts at {@code baseMs} and doubles with each failure up to {@code maxMs}. */
    public Backoff(long baseMs, long maxMs, UniformRandomProvider random) {
        this.baseMs = baseMs;
        this.maxMs = maxMs;
        this.random = random;
    }

    /** Counts a failure and returns the delay before the next attempt, between half and all of the current maximum. */
    public long nextDelayMs() {
        long boundMs = Math.min(maxMs, baseMs << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return boundMs / 2 + random.nextLong(boundMs / 2 + 1);
    }

    /** Returns whether the last attempt failed. */
    public boolean isFailing() {
        return failures > 0;
    }

    /** Resets the delay after a successful attempt. */
    public void reset() {
        failures = 0;
    }
}
