package org.cranberrybend.entry.testing;

import org.cranberrybend.core.time.TimeSource;

/** A manual clock; the wall clock can be shifted against the monotonic clock. */
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

    /** Advances both clocks. */
    public void advance(long ms) {
        monotonicMs += ms;
        wallMs += ms;
    }

    /** Shifts the wall clock only, as a clock step or a suspension of the process does. */
    public void shiftWall(long ms) {
        wallMs += ms;
    }
}
