package org.cranberrybend.entry.usage;

import org.cranberrybend.core.time.TimeSource;

/**
 * Time since the epoch that does not follow jumps of the time of day.
 *
 * <p>The offset between the time of day and the monotonic clock is held. A larger one that persists is taken over only
 * when the monotonic clock may have stood still, that is when the process was suspended; this shows as a late timer.
 */
public final class TrueClock {
    private final TimeSource timeSource;
    private long offsetMs;

    /** Creates a clock that trusts the time of day at its creation. */
    public TrueClock(TimeSource timeSource) {
        this.timeSource = timeSource;
        this.offsetMs = timeSource.wallMs() - timeSource.monotonicMs();
    }

    /** Returns the time in milliseconds since the epoch. */
    public long nowMs() {
        return timeSource.monotonicMs() + offsetMs;
    }

    /** Returns by how much the time of day differs from this clock, in milliseconds. */
    public long wallDeviationMs() {
        return timeSource.wallMs() - nowMs();
    }

    /** Shifts this clock, after other clocks agreed that it is wrong. */
    public void adjust(long deltaMs) {
        offsetMs += deltaMs;
    }
}
