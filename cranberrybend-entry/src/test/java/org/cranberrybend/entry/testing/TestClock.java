package org.cranberrybend.entry.testing;

import org.cranberrybend.core.time.TimeSource;

/** A clock that tests move; the time of day can be moved apart from the monotonic clock. */
public final class TestClock implements TimeSource {
    private long monotonicMs = 1_000_000;
    private long wallMs = 1_800_000_000_000L;

    @Override
    public long wallMs() {
        return wallMs;
    }

    @Override
    public long monotonicMs() {
        return monotonicMs;
    }

    /** Lets time pass. */
    public void advance(long ms) {
        monotonicMs += ms;
        wallMs += ms;
    }

    /** Moves the time of day only, as a clock step or a suspension of the process does. */
    public void shiftWall(long ms) {
        wallMs += ms;
    }
}
