package org.cranberrybend.controller.schedule;

import org.apache.commons.rng.UniformRandomProvider;

/** Exponential delay with jitter between attempts, so that controllers do not retry in step after an outage. */
public final class RetryDelay {
    private static final int MAX_DOUBLINGS = 20;

    private final long baseMs;
    private final long maxMs;
    private final UniformRandomProvider random;
    private int failures;

    /** Creates a delay that starts at {@code baseMs} and doubles with each failure up to {@code maxMs}. */
    public RetryDelay(long baseMs, long maxMs, UniformRandomProvider random) {
        this.baseMs = baseMs;
        this.maxMs = maxMs;
        this.random = random;
    }

    /** Counts a failure and returns the delay before the next attempt: between half and all of the current bound. */
    public long nextMs() {
        long boundMs = Math.min(maxMs, baseMs << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return boundMs / 2 + random.nextLong(boundMs / 2 + 1);
    }

    /** Returns whether the last attempt failed. */
    public boolean isFailing() {
        return failures > 0;
    }

    /** Forgets earlier failures. */
    public void succeeded() {
        failures = 0;
    }
}
