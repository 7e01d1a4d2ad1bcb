package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.chunk;
import static org.cranberrybend.entry.testing.Responses.event;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.Responses.statusOf;
import static org.cranberrybend.entry.testing.Responses.streamHead;
import static org.cranberrybend.entry.testing.Responses.unframedStreamHead;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams that send surplus, endless, stalled or incomplete responses. */
class FaultyUpstreamTest {
    private static final String OWN_RESPONSE = "own";
    /** More bytes than the socket buffers and the router's own buffers of one stream can hold. */
    private static final long MAX_UNREAD_STREAM_BYTES = 24L * 1024 * 1024;

    private static final long BYTE_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Longer than the time after which a silent engine is ejected, shorter than twice the pause that the route allows. */
    private static final long SLOW_EVENT_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(1_400);

    private static String longRequest(String method, String path, String attempt, String body) {
        return request(method, path, attempt, body).replace("Deadline: 1400", "Deadline: 30000");
    }

    /** Writes the text again and again until the connection is closed. */
    private static void writeEndlessly(Socket connection, String text) throws IOException {
        while (!connection.isClosed()) {
            write(connection, text);
        }
    }

    /** Responds to the first request of a connection, and to the second one after a late copy of the first response. */
    private static Script lateCopy(String copy) {
        AtomicInteger requests = new AtomicInteger();
        return (request, connection) -> {
            boolean second = requests.incrementAndGet() == 2;
            write(
                    connection,
                    (second ? copy : "")
                            + response(request.headers().get("attempt"), "200 OK", second ? OWN_RESPONSE : "done"));
        };
    }

    // Guards against requests that each wait until their time limit on another idle connection after all connections to
    // an upstream have become silent. A request that runs once cannot be moved, so only its time-out shows the silence.
    @Test
    void timeoutDiscardsTheIdleConnectionsToTheUpstream() throws Exception {
        int connections = 3;
        CountDownLatch arrived = new CountDownLatch(connections);
        Set<Socket> silent = ConcurrentHashMap.newKeySet();
        Script script = (request, connection) -> {
            if (arrived.getCount() > 0) {
                silent.add(connection);
                arrived.countDown();
                Uninterruptibles.awaitUninterruptibly(arrived);
            } else if (silent.contains(connection)) {
                return;
            }
            write(connection, response(request, "200 OK", "done"));
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream)) {
            List<RawCaller> callers = new ArrayList<>();
            for (int i = 0; i < connections; i++) {
                callers.add(entry.caller().send(longRequest("POST", "/once/x", "a" + i, "order")));
            }
            for (RawCaller caller : callers) {
                caller.readUntil("done");
                caller.close();
            }
            try (RawCaller caller = entry.caller()) {
                String impatient = request("POST", "/once/x", "b1", "order").replace("Deadline: 1400", "Deadline: 300");
                assertThat(statusOf(caller.send(impatient).readUntil("}}"))).isEqualTo("504");
                String next = caller.send(longRequest("POST", "/once/x", "b2", "order"))
                        .readUntil("done");
                assertThat(statusOf(next)).isEqualTo("200");
            }
        }
    }

    // Guards against forwarding a late copy of the previous response on a reused connection, and against reporting the
    // request as lost although its own response follows.
    @Test
    void lateCopyOfThePreviousResponseIsSkipped() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(lateCopy(response("a1", "200 OK", "done")));
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send(request("POST", "/once/x", "a1", "order")).readUntil("done");
            String second =
                    caller.send(request("POST", "/once/x", "a2", "order")).readUntil(OWN_RESPONSE);
            assertThat(statusOf(second)).isEqualTo("200");
            assertThat(second).contains("Attempt: a2");
            assertThat(second).doesNotContain("done");
            assertThat(upstream.received()).hasSize(2);
        }
    }

    // Responses that were crossed with those of other requests: guards against waiting until the deadline for an own
    // response, which may never come, although the request may be executed again.
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/stream/x"})
    void crossedResponseOfARepeatableRequestIsRetriedAtOnce(String path) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        Script crossed = (request, connection) -> write(
                connection,
                requests.incrementAndGet() == 1
                        ? response(request, "200 OK", "done")
                        : response("other", "200 OK", "crossed"));
        Script responds = (request, connection) -> write(connection, response(request, "200 OK", OWN_RESPONSE));
        try (ScriptedUpstream first = new ScriptedUpstream(crossed);
                ScriptedUpstream second = new ScriptedUpstream(responds);
                EntryFixture entry = new EntryFixture(first, second);
                RawCaller earlier = entry.caller();
                RawCaller caller = entry.caller()) {
            earlier.send(request("GET", path, "a1", "")).readUntil("done");
            String response = caller.send(longRequest("GET", path, "a2", "")).readUntil(OWN_RESPONSE);
            assertThat(statusOf(response)).isEqualTo("200");
            assertThat(response).contains("Attempt: a2");
        }
    }

    // Guards against skipping surplus responses without end.
    @Test
    void endlessCopiesOfThePreviousResponseEndTheAttempt() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        Script script = (request, connection) -> {
            if (requests.incrementAndGet() == 1) {
                write(connection, response("a1", "200 OK", "done"));
            } else {
                writeEndlessly(connection, response("a1", "200 OK", "done"));
            }
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send(request("POST", "/once/x", "a1", "order")).readUntil("done");
            String second =
                    caller.send(longRequest("POST", "/once/x", "a2", "order")).readUntil("}}");
            assertThat(statusOf(second)).isEqualTo("502");
            assertThat(upstream.awaitClosedConnection()).isTrue();
        }
    }

    // A late copy of an earlier rejection on a reused connection. Taking it for the own response would promise that a
    // request did not run that is running, and would have it run at a second upstream.
    @ParameterizedTest
    @CsvSource({"/once/x,200", "/single/x,200", "/safe/x,502", "/stream/x,502"})
    void lateCopyOfARejectionIsNotTrusted(String path, String expectedStatus) throws Exception {
        String rejection = "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        AtomicInteger requests = new AtomicInteger();
        Script script = (request, connection) -> write(
                connection,
                requests.incrementAndGet() == 1 ? rejection : rejection + response(request, "200 OK", OWN_RESPONSE));
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            assertThat(statusOf(
                            caller.send(request("POST", path, "a1", "order")).readUntil("}}")))
                    .isEqualTo("503");
            String second = caller.send(request("POST", path, "a2", "order").replace("\n\n", "\nConnection: close\n\n"))
                    .readAll();
            assertThat(statusOf(second)).isEqualTo(expectedStatus);
            assertThat(upstream.received()).hasSize(2);
        }
    }

    static Stream<Arguments> responsesInPlaceOfTheRest() {
        String error = "Attempt: a1\r\nSignature: s2\r\nContent-Length: 9\r\n\r\nodd error";
        return Stream.of(
                Arguments.of("error", "HTTP/1.1 500 Odd\r\n" + error),
                Arguments.of("not found", "HTTP/1.1 404 Odd\r\n" + error),
                Arguments.of("success that is no stream", "HTTP/1.1 200 Odd\r\nContent-Type: text/plain\r\n" + error),
                Arguments.of("rejection", "HTTP/1.1 503 Odd\r\nNot-Run: 1\r\n" + error),
                Arguments.of("stream to another request", "HTTP/1.1 200 Odd\r\n" + error.replace("a1", "a7")),
                Arguments.of("no response", "odd odd odd\r\n\r\n"),
                Arguments.of(
                        "unframed stream without an event",
                        "HTTP/1.1 200 Odd\r\nAttempt: a1\r\nSignature: s2\r\nContent-Type: text/event-stream\r\n\r\n"));
    }

    // Guards against the text or the head of an error in the middle of a stream that was to be resumed, and against
    // ending such a stream as if it were complete.
    @ParameterizedTest(name = "{0}")
    @MethodSource("responsesInPlaceOfTheRest")
    void errorInPlaceOfTheRestBreaksTheStreamOff(String name, String otherResponse) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        Script script = (request, connection) -> {
            boolean first = requests.incrementAndGet() == 1;
            write(connection, first ? streamHead(request) + chunk(event(1)) + "5\r\nid" : otherResponse);
            connection.close();
        };
        try (ScriptedUpstream first = new ScriptedUpstream(script);
                ScriptedUpstream second = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(first, second);
                RawCaller caller = entry.caller()) {
            String response =
                    caller.send(request("POST", "/stream/x", "a1", "prompt")).readAll();
            assertThat(response).endsWith(chunk(event(1)));
            assertThat(response).doesNotContainMatch("(?i)odd");
            assertThat(requests.get()).isEqualTo(2);
        }
    }

    // Guards against presenting a stream as complete that ended before its first event: so ends a crashed engine.
    @Test
    void streamWithoutLengthThatEndsWithoutAnEventIsNotComplete() throws Exception {
        Script script = (request, connection) -> {
            write(connection, unframedStreamHead(request) + "\r\n");
            connection.close();
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            String response =
                    caller.send(request("POST", "/single/x", "a1", "prompt")).readUntil("}}");
            assertThat(statusOf(response)).isEqualTo("502");
        }
    }

    // A late rejection or error without an attempt identifier may belong to the previous request of the connection.
    // Taking it for this request's would promise that a request did not run that may be running.
    @Test
    void rejectionWithoutAttemptOnAReusedConnectionIsNotTrusted() throws Exception {
        String rejection = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        try (ScriptedUpstream upstream = new ScriptedUpstream(lateCopy(rejection));
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send(request("POST", "/once/x", "a1", "order")).readUntil("done");
            String second =
                    caller.send(request("POST", "/once/x", "a2", "order")).readUntil("}}");
            assertThat(statusOf(second)).isEqualTo("502");
            assertThat(second).contains("outcome_unknown");
        }
    }

    static Stream<Arguments> endlessResponses() {
        String head = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s1\r\n";
        return Stream.of(
                Arguments.of("line", "HTTP/1.1 200 OK\r\nOdd: ", "xxxxxxxxxxxxxxxx"),
                Arguments.of("headers", head, "Odd: " + "x".repeat(1_000) + "\r\n"),
                Arguments.of("interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
                Arguments.of("bytes that are no response", "", "\0\1\2\3no http\n"),
                Arguments.of("body", head + "\r\n", "x".repeat(1_000)),
                Arguments.of("chunks", head + "Transfer-Encoding: chunked\r\n\r\n", chunk("x".repeat(1_000))),
                Arguments.of(
                        "trailers",
                        head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                        "Odd: " + "x".repeat(1_000) + "\r\n"));
    }

    // Guards against reading bytes without end, in a head or a body, until the caller gives up or memory runs out.
    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessResponses")
    void endlessResponseEndsTheAttempt(String name, String start, String repeated) throws Exception {
        Script script = (request, connection) -> {
            write(connection, start);
            writeEndlessly(connection, repeated);
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            String response =
                    caller.send(longRequest("POST", "/once/x", "a1", "order")).readUntil("}}");
            assertThat(statusOf(response)).isEqualTo("502");
            assertThat(upstream.awaitClosedConnection()).isTrue();
        }
    }

    // Guards against waiting for the end of the body of a rejection, which states at its head that nothing ran.
    @Test
    void rejectionWithAnEndlessBodyIsARejection() throws Exception {
        Script script = (request, connection) -> {
            write(connection, "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
            writeEndlessly(connection, chunk("x".repeat(1_000)));
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            String response =
                    caller.send(longRequest("POST", "/once/x", "a1", "order")).readUntil("}}");
            assertThat(statusOf(response)).isEqualTo("503");
            assertThat(upstream.awaitClosedConnection()).isTrue();
        }
    }

    // Guards against buffering an event without end.
    @Test
    void endlessEventBreaksTheStreamOff() throws Exception {
        Script script = (request, connection) -> {
            write(connection, streamHead(request) + chunk(event(1)));
            writeEndlessly(connection, chunk("data: " + "x".repeat(1_000) + "\n"));
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            String response = caller.send(longRequest("POST", "/single/x", "a1", "prompt"))
                    .readAll();
            assertThat(response).contains(event(1));
            assertThat(response).doesNotContain("0\r\n\r\n");
            assertThat(upstream.awaitClosedConnection()).isTrue();
        }
    }

    // Guards against buffering a stream without bound for a caller that does not read.
    @Test
    void upstreamIsNotReadFasterThanTheCallerReads() throws Exception {
        AtomicLong written = new AtomicLong();
        String many = chunk(("data: " + "x".repeat(1_000) + "\n\n").repeat(16));
        Script script = (request, connection) -> {
            write(connection, streamHead(request));
            while (written.addAndGet(many.length()) < 4 * MAX_UNREAD_STREAM_BYTES) {
                write(connection, many);
            }
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send(request("POST", "/single/x", "a1", "prompt"));
            assertThat(upstream.awaitClosedConnection()).isTrue();
            assertThat(written.get()).isLessThan(MAX_UNREAD_STREAM_BYTES);
        }
    }

    // Guards against a stream that pauses for the caller and is not continued when the caller reads again.
    @Test
    void streamGoesOnWhenTheCallerReadsAgain() throws Exception {
        int chunks = 2_000;
        String many = ("data: " + "x".repeat(1_000) + "\n\n").repeat(16);
        Script script = (request, connection) -> {
            write(connection, streamHead(request));
            for (int i = 0; i < chunks; i++) {
                write(connection, chunk(many));
            }
            write(connection, "0\r\n\r\n");
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send(longRequest("POST", "/single/x", "a1", "prompt").replace("\n\n", "\nConnection: close\n\n"));
            String response = caller.readAll();
            assertThat(response).endsWith("0\r\n\r\n");
            assertThat(response.length()).isGreaterThan(chunks * many.length());
        }
    }

    // Guards against presenting a stream as complete whose connection ended within an event.
    @Test
    void streamWithoutLengthThatEndsWithinAnEventIsNotComplete() throws Exception {
        Script script = (request, connection) -> {
            write(connection, unframedStreamHead(request) + "\r\n" + event(1) + "id: 2\nda");
            connection.close();
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            String response =
                    caller.send(request("POST", "/single/x", "a1", "prompt")).readAll();
            assertThat(response).contains(event(1));
            assertThat(response).doesNotContain("0\r\n\r\n");
        }
    }

    // Guards against a stream that sends a byte now and then, but no event, until the deadline.
    @Test
    void stalledStreamThatStillSendsBytesIsResumedElsewhere() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        Script script = (request, connection) -> {
            if (requests.incrementAndGet() > 1) {
                write(connection, streamHead(request) + chunk("id: 2\ndata: rest\n\n") + "0\r\n\r\n");
                return;
            }
            write(connection, streamHead(request) + chunk(event(1)));
            while (!connection.isClosed()) {
                write(connection, chunk(":"));
                LockSupport.parkNanos(BYTE_INTERVAL_NS);
            }
        };
        try (ScriptedUpstream first = new ScriptedUpstream(script);
                ScriptedUpstream second = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(first, second);
                RawCaller caller = entry.caller()) {
            String response = caller.send(longRequest("POST", "/stream/x", "a1", "prompt"))
                    .readUntil("0\r\n\r\n");
            assertThat(response).contains(event(1));
            assertThat(response).contains("data: rest");
            assertThat(first.received().size() + second.received().size()).isEqualTo(2);
        }
    }

    // Guards against giving up the running requests of an upstream that only missed its heartbeats, and against
    // starting them again elsewhere.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/safe/x", "/stream/x"})
    void runningRequestGoesOnWhenTheEntryOfItsUpstreamExpires(String path) throws Exception {
        CountDownLatch entryRemoved = new CountDownLatch(1);
        Script script = (request, connection) -> {
            Uninterruptibles.awaitUninterruptibly(entryRemoved);
            write(connection, response(request, "200 OK", OWN_RESPONSE));
        };
        try (ScriptedUpstream first = new ScriptedUpstream(script);
                ScriptedUpstream second = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(first, second);
                RawCaller caller = entry.caller()) {
            caller.send(request("POST", path, "a1", "order"));
            while (first.received().size() + second.received().size() == 0) {
                Thread.onSpinWait();
            }
            entry.removeEntry(first.received().isEmpty() ? "u1" : "u0");
            entryRemoved.countDown();
            assertThat(statusOf(caller.readUntil(OWN_RESPONSE))).isEqualTo("200");
            assertThat(first.received().size() + second.received().size()).isEqualTo(1);
        }
    }

    // Guards against moving a stream whose events come slowly, but within the pause that its route allows.
    @Test
    void slowStreamStaysAtItsUpstream() throws Exception {
        Script script = (request, connection) -> {
            write(connection, streamHead(request));
            for (int id = 1; id <= 3; id++) {
                write(connection, chunk(event(id)));
                LockSupport.parkNanos(SLOW_EVENT_INTERVAL_NS);
            }
            write(connection, "0\r\n\r\n");
        };
        try (ScriptedUpstream first = new ScriptedUpstream(script);
                ScriptedUpstream second = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(first, second);
                RawCaller caller = entry.caller()) {
            String response =
                    caller.send(longRequest("POST", "/slow/x", "a1", "prompt")).readUntil("0\r\n\r\n");
            assertThat(response).contains(event(1) + "\r\n");
            assertThat(response).contains(event(3) + "\r\n");
            assertThat(first.received().size() + second.received().size()).isEqualTo(1);
        }
    }
}
