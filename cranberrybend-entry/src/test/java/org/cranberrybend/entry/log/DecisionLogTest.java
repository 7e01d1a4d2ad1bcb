package org.cranberrybend.entry.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DecisionLogTest {
    private static final int LINES_PER_SECOND = 400;
    private static final long WAIT_S = 10;
    /** 2 MB of lines, their line ends, and the line that counts the dropped ones. */
    private static final int MAX_WAITING_BYTES = 2 * 1024 * 1024 + 16 * 1024;

    private final TestClock clock = new TestClock();

    /** An output whose writes block until it is released. */
    private static final class BlockedOutput extends OutputStream {
        private final CountDownLatch blocked = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        @Override
        public void write(int value) {
            throw new UnsupportedOperationException("lines are written in blocks");
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            blocked.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    // Guards against requests that wait because the log output is blocked.
    @Test
    void blockedOutputDoesNotBlockCallers() throws Exception {
        BlockedOutput output = new BlockedOutput();
        DecisionLog log = new DecisionLog("instance", 1, clock, output);
        log.start();
        log.record(EventCode.REQUEST_FAILED, "first");
        assertThat(output.blocked.await(WAIT_S, TimeUnit.SECONDS)).isTrue();
        for (int i = 0; i < 20_000; i++) {
            log.record(EventCode.REQUEST_FAILED, "r" + i);
            clock.advance(10);
        }
        assertThat(log.droppedLines()).isAtLeast(15_000L);
        output.released.countDown();
    }

    // Guards against a burst that writes an unlimited number of lines, and against the loss of lines of failed requests
    // because lines of successful ones used up the rate limit.
    @Test
    void burstIsLimitedAndKeepsFailures() throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        DecisionLog log = new DecisionLog("instance", 1, clock, output);
        for (int i = 0; i < 10 * LINES_PER_SECOND; i++) {
            log.record(EventCode.REQUEST_COMPLETED, "ordinary-" + i);
        }
        for (int i = 0; i < 100; i++) {
            log.record(EventCode.REQUEST_FAILED, "failed-" + i);
        }
        log.start();
        awaitDroppedLines(output);
        String text = text(output);
        assertThat(text.lines().filter(line -> line.contains("failed-")).count())
                .isEqualTo(100);
        assertThat(text.lines().count()).isAtMost((long) LINES_PER_SECOND + 1);
        assertThat(text).contains("{\"dropped_lines\":" + log.droppedLines() + "}");
    }

    // Guards against a queue that is bounded by the number of its lines: with a blocked output, 4,096 causes of an
    // unreadable configuration of some hundred KB each do not fit the heap.
    @ParameterizedTest
    @CsvSource({"x, 300", "x, 1000", "x, 20000", "\u0171, 20000"})
    void waitingLinesAreBoundedBySize(String letter, int length) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        DecisionLog log = new DecisionLog("instance", 1, clock, output);
        for (int i = 0; i < 10_000; i++) {
            log.record(EventCode.CONFIGURATION_UNREADABLE, "configuration", "cause", letter.repeat(length));
            clock.advance(10);
        }
        log.start();
        awaitDroppedLines(output);
        assertThat(output.size()).isAtMost(MAX_WAITING_BYTES);
        assertThat(text(output).lines().count()).isAtLeast(500);
    }

    private static void awaitDroppedLines(ByteArrayOutputStream output) {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (!text(output).contains("dropped_lines") && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
    }

    private static String text(ByteArrayOutputStream output) {
        return output.toString(StandardCharsets.UTF_8);
    }
}
