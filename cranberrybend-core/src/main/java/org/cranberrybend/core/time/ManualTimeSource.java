package org.cranberrybend.core.time;

import java.util.concurrent.atomic.AtomicLong;

/** A clock that moves only when told to, for tests, fuzzing and the experiment. */
public final class ManualTimeSource implements TimeSource {
    private final AtomicLong nowMs;

    /** Creates a clock that shows the given number of milliseconds on both of its readings. */
    public ManualTimeSource(long startMs) {
        this.nowMs = new AtomicLong(startMs);
    }

    /** Moves the clock forward by a non-negative number of milliseconds. */
    public void advanceMs(long durationMs) {
        if (durationMs < 0) {
            throw new IllegalArgumentException("duration must not be negative: " + durationMs);
        }
        nowMs.addAndGet(durationMs);
    }

    @Override
    public long wallMs() {
        return nowMs.get();
    }

    @Override
    public long monotonicMs() {
        return nowMs.get();
    }
}
