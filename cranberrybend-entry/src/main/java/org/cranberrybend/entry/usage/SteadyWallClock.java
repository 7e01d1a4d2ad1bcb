package org.cranberrybend.entry.usage;

import org.cranberrybend.core.time.TimeSource;

/**
 * Wall-clock time that does not follow steps of the system clock: the monotonic clock plus its offset to the wall clock
 * at the creation of this object.
 *
 * <p>The monotonic clock stands still while the process is suspended, so this clock is slow by that time afterwards. It
 * does not correct itself, because the deviation alone does not distinguish a suspension from a step of the system
 * clock; a suspension also shows as a late timer.
 */
public final class SteadyWallClock {
    private final TimeSource timeSource;
    private long offsetMs;

    /** Creates a clock that shows the present wall-clock time. */
    public SteadyWallClock(TimeSource timeSource) {
        this.timeSource = timeSource;
        this.offsetMs = timeSource.wallMs() - timeSource.monotonicMs();
    }

    /** Returns the time in milliseconds since the epoch. */
    public long nowMs() {
        return timeSource.monotonicMs() + offsetMs;
    }

    /** Returns the difference between the wall clock and this clock in milliseconds; positive if this clock is slow. */
    public long wallDeviationMs() {
        return timeSource.wallMs() - nowMs();
    }

    /** Shifts this clock, for a correction that is known from other sources. */
    public void adjust(long deltaMs) {
        offsetMs += deltaMs;
    }
}
