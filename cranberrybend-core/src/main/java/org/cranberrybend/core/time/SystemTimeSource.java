package org.cranberrybend.core.time;

import java.util.concurrent.TimeUnit;

/** The system clocks. */
enum SystemTimeSource implements TimeSource {
    INSTANCE;

    @Override
    public long wallMs() {
        return System.currentTimeMillis();
    }

    @Override
    public long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
