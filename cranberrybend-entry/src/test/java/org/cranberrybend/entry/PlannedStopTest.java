package org.cranberrybend.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.chunk;
import static org.cranberrybend.entry.testing.Responses.event;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.Responses.statusOf;
import static org.cranberrybend.entry.testing.Responses.streamHead;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that are in progress when an instance stops, or that arrive meanwhile. */
class PlannedStopTest {
    private static final long SHUTDOWN_LIMIT_MS = 8_000;
    /** Time at which a request that is taken may not finish before the shutdown limit. */
    private static final long LATE_MS = 3_000;

    private final TestClock clock = new TestClock();
    private final AtomicBoolean drained = new AtomicBoolean();

    private DrainMonitor stop(EntryFixture entry) throws Exception {
        return entry.onLoop(() -> {
            entry.server().beginDrain();
            return new DrainMonitor(
                    entry.server(), entry.requests(), clock, SHUTDOWN_LIMIT_MS, () -> drained.set(true));
        });
    }

    private void advance(EntryFixture entry, DrainMonitor monitor, long ms) throws Exception {
        clock.advance(ms);
        entry.onLoop(() -> {
            monitor.check();
            return null;
        });
    }

    private static String longRequest(String path, String attempt) {
        return request("POST", path, attempt, "order").replace("Deadline: 1400", "Deadline: 30000");
    }

    private static void awaitReceived(ScriptedUpstream upstream) {
        while (upstream.received().isEmpty()) {
            Thread.onSpinWait();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Guards against passing a request on that has arrived completely only late in the stop, because its body came
    // slowly: it would be cut off at the shutdown limit, perhaps after it was executed.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/safe/x", "/single/x"})
    void requestReceivedLateIsRefused(String path) throws Exception {
        Script script = (received, connection) -> write(connection, response(received, "200 OK", "done"));
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            String text = longRequest(path, "a1");
            caller.send(text.substring(0, text.length() - 2));
            while (entry.onLoop(() -> entry.server().activeConnectionCount()) == 0) {
                Thread.onSpinWait();
            }
            DrainMonitor monitor = stop(entry);
            advance(entry, monitor, LATE_MS);
            String answer = caller.send(text.substring(text.length() - 2)).readAll();
            assertThat(statusOf(answer)).isEqualTo("503");
            assertThat(answer).contains("Retry-After: ");
            assertThat(answer).contains("\"run_state\":\"not_run\"");
            assertThat(upstream.received()).isEmpty();
        }
    }

    // Guards against cutting a request off at the shutdown limit without a response, so that its caller does not learn
    // that it may have been executed.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/safe/x", "/single/x", "/stream/x"})
    void requestInProgressAtTheLimitGetsAResponse(String path) throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        try (ScriptedUpstream upstream = new ScriptedUpstream((received, connection) -> await(end));
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send(longRequest(path, "a1"));
            awaitReceived(upstream);
            DrainMonitor monitor = stop(entry);
            advance(entry, monitor, SHUTDOWN_LIMIT_MS - 800);
            String answer = caller.readAll();
            end.countDown();
            assertThat(statusOf(answer)).isEqualTo("502");
            assertThat(answer).contains("\"run_state\":\"outcome_unknown\"");
            assertWithMessage("connection to the upstream closed")
                    .that(upstream.awaitClosedConnection())
                    .isTrue();
            assertThat(drained.get()).isFalse();
            advance(entry, monitor, 200);
            assertThat(drained.get()).isTrue();
        }
    }

    // Guards against ending a stream at the shutdown limit so that it looks complete.
    @Test
    void streamInProgressAtTheLimitIsBrokenOff() throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        Script script = (received, connection) -> {
            write(connection, streamHead(received) + chunk(event(1)));
            await(end);
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send(longRequest("/single/x", "a1")).readUntil(event(1));
            DrainMonitor monitor = stop(entry);
            advance(entry, monitor, SHUTDOWN_LIMIT_MS - 800);
            assertThat(caller.readAll()).doesNotContain("0\r\n\r\n");
            end.countDown();
        }
    }

    // Guards against sending a request that may be executed only once to another upstream late in the stop.
    @Test
    void rejectedRequestThatRunsOnceIsNotSentAgainLate() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        Script script = (received, connection) -> {
            await(late);
            write(connection, "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        };
        try (ScriptedUpstream first = new ScriptedUpstream(script);
                ScriptedUpstream second = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(first, second);
                RawCaller caller = entry.caller()) {
            caller.send(longRequest("/once/x", "a1"));
            while (first.received().size() + second.received().size() == 0) {
                Thread.onSpinWait();
            }
            DrainMonitor monitor = stop(entry);
            advance(entry, monitor, LATE_MS);
            late.countDown();
            assertThat(statusOf(caller.readAll())).isEqualTo("503");
            assertThat(first.received().size() + second.received().size()).isEqualTo(1);
        }
    }
}
