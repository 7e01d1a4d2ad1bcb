package org.cranberrybend.core.time;

import java.util.concurrent.atomic.AtomicLong;

/** A time source that advances only on request, for tests and simulations. */
public final class ManualTimeSource implements TimeSource {
    private final AtomicLong nowMs;

    /** Creates a time source whose wall clock and monotonic clock both start at the given number of milliseconds. */
    public ManualTimeSource(long startMs) {
        this.nowMs = new AtomicLong(startMs);
    }

    /** Advances both clocks by a non-negative number of milliseconds. */
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
