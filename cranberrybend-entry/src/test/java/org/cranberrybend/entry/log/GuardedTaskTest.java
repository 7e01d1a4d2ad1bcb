package org.cranberrybend.entry.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.time.TimeSource;
import org.junit.jupiter.api.Test;

class GuardedTaskTest {
    private static final int RUNS = 3;

    // Guards against a periodic task that is never run again after one unexpected error.
    @Test
    void taskRunsAgainAfterAnUnexpectedError() throws Exception {
        CountDownLatch runs = new CountDownLatch(RUNS);
        DecisionLog log = new DecisionLog("instance", 1, TimeSource.system(), OutputStream.nullOutputStream());
        Runnable failing = () -> {
            runs.countDown();
            throw new IllegalStateException("unexpected");
        };
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        try {
            executor.scheduleWithFixedDelay(new GuardedTask("task", failing, log), 0, 1, TimeUnit.MILLISECONDS);
            assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
        } finally {
            executor.shutdownNow();
        }
    }
}
