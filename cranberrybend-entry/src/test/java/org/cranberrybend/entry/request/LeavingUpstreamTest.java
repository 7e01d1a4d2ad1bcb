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

import java.util.concurrent.CountDownLatch;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ResponseRecorder;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Received;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams that state in their responses that they are leaving. */
class LeavingUpstreamTest {
    private static final Script SERVES =
            (received, connection) -> write(connection, response(received, "200 OK", "done"));
    private static final int FURTHER_REQUESTS = 6;

    /** A response with the statement. */
    private enum Statement {
        SUCCESS("200 OK", ""),
        ERROR("500 Internal Server Error", ""),
        REJECTION("503 Busy", "Not-Run: 1\r\n"),
        MISDIRECTED("421 Misdirected Request", "");

        private final String status;
        private final String headers;

        Statement(String status, String headers) {
            this.status = status;
            this.headers = headers;
        }

        private String text(Received received) {
            return withHeader(response(received, status, "done"), headers + "Leaving: 1\r\n");
        }
    }

    private static String withHeader(String response, String header) {
        return response.replaceFirst("\r\n", "\r\n" + header);
    }

    private static String call(EntryFixture entry, String path, String attempt) throws Exception {
        try (RawCaller caller = entry.caller()) {
            String text = request("POST", path, attempt, "order");
            return caller.send(text.replace("\nDeadline", "\nConnection: close\nDeadline"))
                    .readAll();
        }
    }

    /** Sends requests until the first upstream has received one. */
    private static String callFirst(EntryFixture entry, ScriptedUpstream first, String path) throws Exception {
        String response = "";
        for (int i = 0; first.received().isEmpty(); i++) {
            response = call(entry, path, "f" + i);
        }
        return response;
    }

    // Guards against requests to an upstream that has stated, in any response, that it is leaving.
    @ParameterizedTest
    @EnumSource
    void upstreamReceivesNothingAfterItsStatement(Statement statement) throws Exception {
        Script script = (received, connection) -> write(connection, statement.text(received));
        try (ScriptedUpstream leaving = new ScriptedUpstream(script);
                ScriptedUpstream other = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(leaving, other)) {
            callFirst(entry, leaving, "/safe/x");
            for (int i = 0; i < FURTHER_REQUESTS; i++) {
                assertThat(statusOf(call(entry, "/once/x", "a" + i))).isEqualTo("200");
            }
            assertThat(leaving.received()).hasSize(1);
            assertThat(entry.awaitLog("UPSTREAM_LEAVING")).isTrue();
        }
    }

    // Guards against callers that see the statement, which is meant for this instance.
    @Test
    void statementIsNotPassedOn() throws Exception {
        Script script = (received, connection) -> write(connection, Statement.SUCCESS.text(received));
        try (ScriptedUpstream leaving = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(leaving)) {
            String response = callFirst(entry, leaving, "/once/x");
            assertThat(statusOf(response)).isEqualTo("200");
            assertThat(response).doesNotContain("Leaving");
        }
    }

    // Guards against taking another value, or the header of a caller, for a statement.
    @ParameterizedTest
    @ValueSource(strings = {"0", "true", "", "11", "1, 1"})
    void otherValueIsNoStatement(String value) throws Exception {
        Script script = (received, connection) ->
                write(connection, withHeader(response(received, "200 OK", "done"), "Leaving: " + value + "\r\n"));
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            for (int i = 0; i < 2; i++) {
                String text = request("POST", "/once/x", "a" + i, "order");
                String response = caller.send(text.replace("\nDeadline", "\nLeaving: 1\nDeadline"))
                        .readUntil("done");
                assertThat(statusOf(response)).isEqualTo("200");
            }
            assertThat(upstream.received()).hasSize(2);
        }
    }

    // Guards against sending a request to the only upstream although that is leaving, and against an untrue refusal.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/safe/x", "/stream/x"})
    void requestIsRefusedIfTheOnlyUpstreamIsLeaving(String path) throws Exception {
        Script script = (received, connection) -> write(connection, Statement.SUCCESS.text(received));
        try (ScriptedUpstream leaving = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(leaving)) {
            callFirst(entry, leaving, "/once/x");
            String response = call(entry, path, "a1");
            assertThat(statusOf(response)).isEqualTo("503");
            assertThat(response).contains("Retry-After: ");
            assertThat(response).contains("\"run_state\":\"not_run\"");
            assertThat(leaving.received()).hasSize(1);
        }
    }

    // Guards against ending what runs at a leaving upstream, and against reusing its connections.
    @Test
    void runningStreamGoesOnToItsEnd() throws Exception {
        CountDownLatch stated = new CountDownLatch(1);
        Script script = (received, connection) -> {
            if (received.line().contains("/single/")) {
                write(connection, streamHead(received) + chunk(event(1)));
                await(stated);
                write(connection, chunk(event(2)) + "0\r\n\r\n");
            } else {
                write(connection, Statement.SUCCESS.text(received));
            }
        };
        try (ScriptedUpstream leaving = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(leaving);
                RawCaller stream = entry.caller()) {
            stream.send(request("POST", "/single/x", "s1", "prompt")).readUntil(event(1));
            call(entry, "/once/x", "a1");
            assertThat(entry.awaitLog("UPSTREAM_LEAVING")).isTrue();
            stated.countDown();
            assertThat(stream.readUntil("0\r\n\r\n")).contains(event(2));
            assertWithMessage("connection of the request closed")
                    .that(leaving.awaitClosedConnection())
                    .isTrue();
            assertWithMessage("connection of the stream closed")
                    .that(leaving.awaitClosedConnection())
                    .isTrue();
        }
    }

    // Guards against resuming a stream at an upstream that is leaving.
    @ParameterizedTest
    @CsvSource({"false, 1", "true, 0"})
    void streamIsResumedOnlyWhereNothingIsLeaving(boolean otherIsLeaving, int expectedResumes) throws Exception {
        Script breaksOff = (received, connection) -> {
            write(connection, streamHead(received) + chunk(event(1)));
            connection.close();
        };
        Script goesOn =
                (received, connection) -> write(connection, streamHead(received) + chunk(event(2)) + "0\r\n\r\n");
        try (ScriptedUpstream first = new ScriptedUpstream(breaksOff);
                ScriptedUpstream second = new ScriptedUpstream(goesOn);
                EntryFixture entry = new EntryFixture(first, second)) {
            entry.onLoop(() -> {
                entry.table()
                        .recordLeaving(
                                entry.table().find(otherIsLeaving ? "u1" : "u0").get());
                return null;
            });
            String response = call(entry, "/stream/x", "a1");
            assertThat(second.received().size()).isEqualTo(expectedResumes);
            assertThat(response.contains(event(2))).isEqualTo(expectedResumes == 1);
        }
    }

    // Guards against sending a request on a connection that was being established when the statement arrived.
    @Test
    void requestThatWaitsForItsConnectionIsNotSent() throws Exception {
        try (ScriptedUpstream leaving = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(leaving)) {
            ResponseRecorder exchange = new ResponseRecorder();
            entry.onLoop(() -> {
                entry.handler().handle(EntryFixture.orderRequest(), exchange);
                entry.table().recordLeaving(entry.table().find("u0").get());
                return null;
            });
            assertThat(entry.awaitLog("REQUEST_REFUSED")).isTrue();
            assertThat(entry.onLoop(exchange::status)).isEqualTo(503);
            assertThat(leaving.received()).isEmpty();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
