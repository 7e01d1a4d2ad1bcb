package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.chunk;
import static org.cranberrybend.entry.testing.Responses.event;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.Responses.statusOf;
import static org.cranberrybend.entry.testing.Responses.streamHead;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Received;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.cranberrybend.entry.upstream.Upstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams that ask for no requests for some time. */
class UpstreamPauseTest {
    private static final TimeSource TIME = TimeSource.system();
    private static final Script SERVES =
            (received, connection) -> write(connection, response(received, "200 OK", "done"));
    private static final int REQUESTS = 6;

    private static String rejection(Received received, String retryAfter) {
        return "HTTP/1.1 503 Busy\r\nAttempt: " + received.headers().get("attempt") + "\r\nNot-Run: 1\r\nRetry-After: "
                + retryAfter + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static Script rejects(String retryAfter) {
        return (received, connection) -> write(connection, rejection(received, retryAfter));
    }

    private static String call(EntryFixture entry, String path, String attempt, long deadlineMs) throws Exception {
        try (RawCaller caller = entry.caller()) {
            return caller.send(text(path, attempt, deadlineMs)).readAll();
        }
    }

    private static String text(String path, String attempt, long deadlineMs) {
        return request("POST", path, attempt, "order")
                .replace("\nDeadline: 1400", "\nConnection: close\nDeadline: " + deadlineMs);
    }

    private static void pause(EntryFixture entry, String id, long pauseMs) throws Exception {
        entry.onLoop(() -> {
            entry.table().recordPause(entry.table().find(id).get(), pauseMs);
            return null;
        });
    }

    // Guards against requests to an upstream that has asked for time, whatever the kind of request.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/safe/x"})
    void pausedUpstreamReceivesNothing(String path) throws Exception {
        try (ScriptedUpstream paused = new ScriptedUpstream(rejects("30"));
                ScriptedUpstream other = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(paused, other)) {
            for (int i = 0; paused.received().isEmpty(); i++) {
                call(entry, path, "f" + i, 1_400);
            }
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(statusOf(call(entry, path, "a" + i, 1_400))).isEqualTo("200");
            }
            assertThat(paused.received()).hasSize(1);
            assertThat(entry.awaitLog("UPSTREAM_PAUSED")).isTrue();
        }
    }

    // Guards against an untrue or late refusal, and against callers that return before an upstream is free.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/safe/x", "/stream/x"})
    void requestThatCannotWaitIsRefusedAtOnce(String path) throws Exception {
        try (ScriptedUpstream first = new ScriptedUpstream(SERVES);
                ScriptedUpstream second = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(first, second)) {
            pause(entry, "u0", 60_000);
            pause(entry, "u1", 20_000);
            String answer = call(entry, path, "a1", 1_400);
            assertThat(statusOf(answer)).isEqualTo("503");
            assertThat(answer).contains("\"run_state\":\"not_run\"");
            double retryAfterS = Double.parseDouble(answer.replaceAll("(?s).*Retry-After: ([0-9.]+).*", "$1"));
            assertThat(retryAfterS).isAtLeast(19.0);
            assertThat(retryAfterS).isAtMost(20.5 * 1.25);
            assertThat(first.received().size() + second.received().size()).isEqualTo(0);
        }
    }

    // Guards against refusing requests that could be served after a short pause, against sending them during it, and
    // against sending them all at its end.
    @Test
    void requestsWaitAndReturnOverARamp() throws Exception {
        Queue<Long> arrivalsMs = new ConcurrentLinkedQueue<>();
        Script records = (received, connection) -> {
            arrivalsMs.add(TIME.monotonicMs());
            write(connection, response(received, "200 OK", "done"));
        };
        List<RawCaller> callers = new ArrayList<>();
        try (ScriptedUpstream only = new ScriptedUpstream(records);
                EntryFixture entry = new EntryFixture(only)) {
            pause(entry, "u0", 400);
            long pauseEndMs = TIME.monotonicMs() + 390;
            for (int i = 0; i < REQUESTS; i++) {
                callers.add(entry.caller().send(text("/once/x", "a" + i, 30_000)));
            }
            for (RawCaller caller : callers) {
                assertThat(statusOf(caller.readAll())).isEqualTo("200");
                caller.close();
            }
            assertThat(arrivalsMs).hasSize(REQUESTS);
            arrivalsMs.forEach(arrivalMs -> assertThat(arrivalMs).isAtLeast(pauseEndMs));
        }
    }

    // Guards against all requests that have waited arriving at the same moment.
    @Test
    void runningRequestsRiseAfterAPause() throws Exception {
        try (ScriptedUpstream only = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(only)) {
            Upstream upstream = entry.onLoop(() -> entry.table().find("u0").get());
            long admitted = entry.onLoop(() -> {
                entry.table().recordPause(upstream, 1);
                long endMs = TIME.monotonicMs() + 5;
                long count = 0;
                while (upstream.accepts(endMs) && count < 100) {
                    upstream.begin(0);
                    count++;
                }
                return count;
            });
            assertThat(admitted).isEqualTo(1);
            assertThat(entry.onLoop(() -> upstream.accepts(TIME.monotonicMs() + 2_000)))
                    .isTrue();
        }
    }

    // Guards against requests that wait behind a pause although another upstream has become available.
    @Test
    void waitingRequestGoesToAnUpstreamThatJoins() throws Exception {
        try (ScriptedUpstream paused = new ScriptedUpstream(SERVES);
                ScriptedUpstream joins = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(paused, joins)) {
            entry.removeEntry("u1");
            pause(entry, "u0", 5_000);
            try (RawCaller caller = entry.caller().send(text("/once/x", "a1", 30_000))) {
                while (entry.onLoop(() -> entry.server().activeConnectionCount()) == 0) {
                    Thread.onSpinWait();
                }
                entry.addEntry("u1", joins.port());
                assertThat(statusOf(caller.readAll())).isEqualTo("200");
            }
            assertThat(paused.received()).isEmpty();
        }
    }

    // Guards against a caller that waits in vain because its upstreams leave during the pause.
    @Test
    void waitingRequestIsRefusedIfItsUpstreamGoes() throws Exception {
        try (ScriptedUpstream paused = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(paused)) {
            pause(entry, "u0", 5_000);
            try (RawCaller caller = entry.caller().send(text("/once/x", "a1", 30_000))) {
                while (entry.onLoop(() -> entry.server().activeConnectionCount()) == 0) {
                    Thread.onSpinWait();
                }
                entry.removeEntry("u0");
                assertThat(statusOf(caller.readAll())).isEqualTo("503");
            }
        }
    }

    // Guards against resuming a stream at an upstream that has asked for time.
    @Test
    void streamIsNotResumedAtAPausedUpstream() throws Exception {
        Script breaksOff = (received, connection) -> {
            write(connection, streamHead(received) + chunk(event(1)));
            connection.close();
        };
        try (ScriptedUpstream first = new ScriptedUpstream(breaksOff);
                ScriptedUpstream second = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(first, second)) {
            pause(entry, "u1", 30_000);
            String answer = call(entry, "/stream/x", "a1", 1_400);
            assertThat(answer).contains(event(1));
            assertThat(answer).doesNotContain("0\r\n\r\n");
            assertThat(second.received()).isEmpty();
        }
    }

    // Guards against ejecting an upstream, for longer each time, because it asks for time, whether it states that
    // it has not executed the request or not.
    @ParameterizedTest
    @CsvSource({"Not-Run: 1, 503", "Odd: 1, 502"})
    void requestForTimeIsNoFailure(String header, String expectedStatus) throws Exception {
        Script busy = (received, connection) ->
                write(connection, response(received, "503 Busy\r\nRetry-After: 0.01\r\n" + header, "later"));
        try (ScriptedUpstream upstream = new ScriptedUpstream(busy);
                EntryFixture entry = new EntryFixture(upstream)) {
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(statusOf(call(entry, "/once/x", "a" + i, 5_000))).isEqualTo(expectedStatus);
            }
            assertWithMessage("each request reached the upstream")
                    .that(upstream.received())
                    .hasSize(REQUESTS);
            assertThat(entry.log()).doesNotContain("UPSTREAM_UNHEALTHY");
        }
    }
}
