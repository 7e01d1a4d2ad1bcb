package org.cranberrybend.entry.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.Test;

class LoopDelayMonitorTest {
    private static final long INTERVAL_MS = 250;

    private final TestClock clock = new TestClock();
    private final DecisionLog log = new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream());
    private final LoopDelayMonitor monitor = new LoopDelayMonitor(INTERVAL_MS, "instance", clock, log);

    private void runAfter(long ms) {
        clock.advance(ms);
        monitor.run();
    }

    // Guards against a delay that is stated forever, or forgotten before it can be read.
    @Test
    void largestDelayIsStatedForTenToTwentySeconds() {
        runAfter(INTERVAL_MS);
        assertThat(monitor.largestDelayMs()).isEqualTo(0);
        runAfter(INTERVAL_MS + 700);
        runAfter(INTERVAL_MS + 100);
        assertThat(monitor.largestDelayMs()).isEqualTo(700);
        for (int i = 0; i < 39; i++) {
            runAfter(INTERVAL_MS);
        }
        assertThat(monitor.largestDelayMs()).isEqualTo(700);
        for (int i = 0; i < 41; i++) {
            runAfter(INTERVAL_MS);
        }
        assertThat(monitor.largestDelayMs()).isEqualTo(0);
    }
}
