package org.cranberrybend.core.time;

import java.util.concurrent.TimeUnit;

/** The clock of this machine. */
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
