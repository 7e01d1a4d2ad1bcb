package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.chunk;
import static org.cranberrybend.entry.testing.Responses.event;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.Responses.statusOf;
import static org.cranberrybend.entry.testing.Responses.streamHead;
import static org.cranberrybend.entry.testing.ScriptedUpstream.reset;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Received;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class RequestPathTest {
    private static final Script RESPONDS =
            (request, connection) -> write(connection, response(request, "200 OK", "done"));
    private static final Script CLOSES = (request, connection) -> connection.close();
    private static final Script REJECTS =
            (request, connection) -> write(connection, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

    private static String call(EntryFixture entry, String text, String end) throws Exception {
        try (RawCaller caller = entry.caller()) {
            return caller.send(text).readUntil(end);
        }
    }

    // Guards against retrying a request that must not be executed twice after its response was lost, and against
    // reporting it as not executed.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/single/x"})
    void lostAnswerOfARequestThatRunsOnceIsNotRepeated(String path) throws Exception {
        try (ScriptedUpstream first = new ScriptedUpstream(CLOSES);
                ScriptedUpstream second = new ScriptedUpstream(CLOSES);
                EntryFixture entry = new EntryFixture(first, second)) {
            assertThat(statusOf(call(entry, request("POST", path, "a1", "order"), "}}")))
                    .isEqualTo("502");
            assertThat(first.received().size() + second.received().size()).isEqualTo(1);
        }
    }

    // Guards against reporting a lost response to the caller although the request may be retried.
    @Test
    void idempotentRequestIsRetriedAfterALostResponse() throws Exception {
        try (ScriptedUpstream first = new ScriptedUpstream(CLOSES);
                ScriptedUpstream second = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(first, second)) {
            assertThat(statusOf(call(entry, request("GET", "/safe/x", "a1", ""), "done")))
                    .isEqualTo("200");
        }
    }

    // Guards against reporting a rejection while another upstream can be tried, and against exceeding the route's
    // number of attempts.
    @Test
    void rejectedRequestGoesToAnotherUpstream() throws Exception {
        try (ScriptedUpstream first = new ScriptedUpstream(REJECTS);
                ScriptedUpstream second = new ScriptedUpstream(REJECTS);
                ScriptedUpstream third = new ScriptedUpstream(REJECTS);
                EntryFixture entry = new EntryFixture(first, second, third)) {
            String response = call(entry, request("POST", "/once/x", "a1", "order"), "}}");
            assertThat(statusOf(response)).isEqualTo("503");
            assertThat(response).contains("Retry-After");
            assertThat(response).contains("not_run");
            int sent = first.received().size()
                    + second.received().size()
                    + third.received().size();
            assertThat(sent).isEqualTo(2);
            assertThat(entry.counted("alpha")).isEqualTo(0);
        }
    }

    // Responses that belong to another request, do not come from an upstream, or are incomplete.
    static Stream<Arguments> invalidResponses() {
        return Stream.of(
                Arguments.of("another attempt", "Attempt: other\r\nSignature: s1\r\nContent-Length: 4\r\n\r\ndone"),
                Arguments.of("no signature", "Attempt: a1\r\nContent-Length: 4\r\n\r\ndone"),
                Arguments.of("no attempt", "Signature: s1\r\nContent-Length: 4\r\n\r\ndone"),
                Arguments.of("short body", "Attempt: a1\r\nSignature: s1\r\nContent-Length: 9\r\n\r\ndone"),
                Arguments.of("bad chunk", "Attempt: a1\r\nSignature: s1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidResponses")
    void invalidResponseIsNotForwarded(String name, String headersAndBody) throws Exception {
        Script script = (request, connection) -> {
            write(connection, "HTTP/1.1 200 OK\r\n" + headersAndBody);
            connection.close();
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream)) {
            String response = call(entry, request("POST", "/once/x", "a1", "order"), "}}");
            assertThat(statusOf(response)).isEqualTo("502");
            assertThat(response).doesNotContain("done");
        }
    }

    // Guards against forwarding a body as complete that has no length and was truncated by a connection reset.
    @Test
    void bodyWithoutLengthIsNotForwardedAfterAReset() throws Exception {
        Script script = (request, connection) -> {
            write(connection, "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s1\r\n\r\ndo");
            reset(connection);
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream)) {
            assertThat(statusOf(call(entry, request("POST", "/once/x", "a1", "order"), "}}")))
                    .isEqualTo("502");
        }
    }

    // Guards against taking surplus bytes after a complete response as the response to the connection's next request.
    @Test
    void surplusBytesAfterAResponseAreNotTakenForTheNextResponse() throws Exception {
        Script script = (request, connection) -> {
            write(connection, response(request, "200 OK", "done") + response(request, "200 OK", "extra"));
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream)) {
            assertThat(call(entry, request("POST", "/once/x", "a1", "order"), "done"))
                    .endsWith("done");
            String second = call(entry, request("POST", "/once/x", "a2", "order"), "done");
            assertThat(second).contains("Attempt: a2");
            assertThat(second).doesNotContain("extra");
        }
    }

    // Guards against altering an upstream's error response, and against not counting its request as executed.
    @Test
    void errorResponseOfAnUpstreamIsForwardedUnchanged() throws Exception {
        Script script = (request, connection) -> write(connection, response(request, "500 Broken", "oops"));
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream)) {
            String response = call(entry, request("POST", "/once/x", "a1", "order"), "oops");
            assertThat(response).startsWith("HTTP/1.1 500 Broken");
            assertThat(response).contains("Signature: s1");
            assertThat(entry.counted("alpha")).isEqualTo(1);
        }
    }

    // Guards against API keys reaching an upstream, and against forwarding headers that only the router may set.
    @Test
    void upstreamReceivesTheAccountButNotTheKey() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(upstream)) {
            String text = request("POST", "/once/x?q=1", "a1", "order")
                    .replace("\nDeadline:", "\nAccount: forged\nMeant-For: u9\nDeadline:");
            call(entry, text, "done");
            Received received = upstream.received().get(0);
            assertThat(received.line()).isEqualTo("POST /once/x?q=1 HTTP/1.1");
            assertThat(received.body()).isEqualTo("order");
            assertThat(received.headers()).doesNotContainKey("authorization");
            assertThat(received.headers().toString()).doesNotContain("good-key");
            assertThat(received.headers()).containsEntry("account", "alpha");
            assertThat(received.headers()).containsEntry("meant-for", "u0");
            assertThat(Long.parseLong(received.headers().get("deadline"))).isAtMost(1_400L);
        }
    }

    // Guards against request smuggling: a request hidden in the body of another one,
    // or framing that two parsers read differently.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\nTransfer-Encoding: chunked\n\n0\n\nGET /safe/hidden HTTP/1.1\n\n",
                "Content-Length: 5\nContent-Length: 6\n\nhello!",
                "Transfer-Encoding: gzip, chunked\n\n0\n\n",
                "X-Odd\u0001: a\nContent-Length: 0\n\n"
            })
    void ambiguousRequestIsRefused(String headersAndBody) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send("POST /once/x HTTP/1.1\nHost: site.example\nAttempt: a1\n" + "Authorization: Bearer good-key\n"
                    + headersAndBody);
            String response = caller.readAll();
            assertThat(statusOf(response)).isEqualTo("400");
            assertThat(response.split("HTTP/1.1", -1).length).isEqualTo(2);
            assertThat(upstream.received()).isEmpty();
        }
    }

    // Guards against forwarding a request whose caller disconnected while a blocked event loop had not yet read it.
    @Test
    void requestIsNotForwardedIfTheCallerDisconnectedBeforeItWasRead() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(upstream)) {
            RawCaller disconnecting = entry.caller();
            CountDownLatch loopBlocked = new CountDownLatch(1);
            CountDownLatch callerDisconnected = new CountDownLatch(1);
            Future<Void> blocked = entry.later(() -> {
                loopBlocked.countDown();
                callerDisconnected.await();
                return null;
            });
            loopBlocked.await();
            disconnecting.send(request("GET", "/safe/x", "a1", ""));
            disconnecting.close();
            callerDisconnected.countDown();
            blocked.get();
            try (RawCaller connected = entry.caller()) {
                connected.send(request("GET", "/safe/x", "a2", ""));
                assertThat(statusOf(connected.readUntil("\r\n\r\n"))).isEqualTo("200");
            }
            assertThat(upstream.received()).hasSize(1);
        }
    }

    // Guards against forwarding a request whose caller disconnected while it waited for the startup of the instance.
    @Test
    void requestIsNotForwardedIfTheCallerDisconnectedDuringTheStartup() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = EntryFixture.starting(upstream)) {
            RawCaller disconnecting = entry.caller();
            disconnecting.send(request("GET", "/safe/x", "a1", ""));
            while (entry.onLoop(() -> entry.server().activeConnectionCount()) == 0) {
                Thread.onSpinWait();
            }
            disconnecting.close();
            while (entry.onLoop(() -> entry.server().connectionCount()) > 0) {
                Thread.onSpinWait();
            }
            entry.listUpstreams();
            assertThat(upstream.received()).isEmpty();
        }
    }

    // Guards against refusing a malformed request without a log entry that states the cause.
    @Test
    void malformedRequestIsLogged() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send("POST /once/x HTTP/1.1\nHost: site.example\nAttempt: odd-1\nContent-Length: 5\n"
                    + "Transfer-Encoding: chunked\n\n0\n\n");
            caller.readAll();
            assertThat(entry.awaitLog("\"subject\":\"odd-1\",\"fields\":{\"status\":400,\"cause\":\"Bad Request\""))
                    .isTrue();
        }
    }

    // Guards against refusing permitted requests, and against forwarding others.
    @ParameterizedTest
    @ValueSource(strings = {"/none/x:404", "/safe/x:401", "/open/x:200", "/safex:404"})
    void routeAndKeyDecideWhoIsServed(String pathAndStatus) throws Exception {
        String path = pathAndStatus.substring(0, pathAndStatus.indexOf(':'));
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(upstream)) {
            String text = request("GET", path, "a1", "").replace("Bearer good-key", "Bearer bad-key");
            String response = call(entry, text, pathAndStatus.endsWith("200") ? "done" : "}}");
            assertThat(statusOf(response)).isEqualTo(pathAndStatus.substring(pathAndStatus.indexOf(':') + 1));
        }
    }

    // Guards against losing, duplicating or mixing events when an interrupted stream is resumed at another upstream.
    @Test
    void interruptedStreamResumesAtAnotherUpstreamAfterItsLastCompleteEvent() throws Exception {
        Script breaks = (request, connection) -> {
            write(connection, streamHead(request) + chunk(event(1)) + chunk(event(2)) + "9\r\nid: 3\nda");
            reset(connection);
        };
        Script continues = (request, connection) -> write(
                connection,
                streamHead(request)
                        + chunk("id: " + request.headers().getOrDefault("last-event-id", "none") + "+\ndata: rest\n\n")
                        + "0\r\n\r\n");
        Script either = new Script() {
            private boolean broken;

            @Override
            public synchronized void respond(Received request, java.net.Socket connection) throws java.io.IOException {
                Script script = broken ? continues : breaks;
                broken = true;
                script.respond(request, connection);
            }
        };
        try (ScriptedUpstream first = new ScriptedUpstream(either);
                ScriptedUpstream second = new ScriptedUpstream(either);
                EntryFixture entry = new EntryFixture(first, second)) {
            String response = call(entry, request("POST", "/stream/x", "a1", "prompt"), "0\r\n\r\n");
            assertThat(response.split("HTTP/1.1", -1).length).isEqualTo(2);
            assertThat(response).contains(event(1));
            assertThat(response).contains("id: 2+\ndata: rest");
            assertThat(response).doesNotContain("id: 3");
            assertThat(response).endsWith("0\r\n\r\n");
            assertThat(entry.counted("alpha")).isEqualTo(1);
        }
    }

    // Guards against making an interrupted stream look complete on a route that does not allow resumption.
    @Test
    void interruptedStreamIsAbortedIfItCannotBeResumed() throws Exception {
        Script breaks = (request, connection) -> {
            write(connection, streamHead(request) + chunk(event(1)));
            reset(connection);
        };
        try (ScriptedUpstream first = new ScriptedUpstream(breaks);
                ScriptedUpstream second = new ScriptedUpstream(breaks);
                EntryFixture entry = new EntryFixture(first, second);
                RawCaller caller = entry.caller()) {
            String response =
                    caller.send(request("POST", "/single/x", "a1", "prompt")).readAll();
            assertThat(response).contains(event(1));
            assertThat(response).doesNotContain("0\r\n\r\n");
            assertThat(first.received().size() + second.received().size()).isEqualTo(1);
        }
    }

    // Guards against an upstream executing a request further after its caller has disconnected.
    @Test
    void disconnectOfTheCallerAbortsTheUpstreamCall() throws Exception {
        Script unresponsive = (request, connection) -> {};
        try (ScriptedUpstream upstream = new ScriptedUpstream(unresponsive);
                EntryFixture entry = new EntryFixture(upstream)) {
            RawCaller caller = entry.caller();
            caller.send(request("POST", "/once/x", "a1", "order"));
            while (upstream.received().isEmpty()) {
                Thread.onSpinWait();
            }
            caller.close();
            assertThat(upstream.awaitClosedConnection()).isTrue();
        }
    }

    // Guards against a caller waiting beyond the route's timeout, and against reporting the request as not executed.
    @Test
    void unresponsiveUpstreamLeadsToATimeoutResponse() throws Exception {
        Script unresponsive = (request, connection) -> {};
        try (ScriptedUpstream upstream = new ScriptedUpstream(unresponsive);
                EntryFixture entry = new EntryFixture(upstream)) {
            String response = call(entry, request("POST", "/once/x", "a1", "order"), "}}");
            assertThat(statusOf(response)).isEqualTo("504");
            assertThat(upstream.awaitClosedConnection()).isTrue();
        }
    }

    // Guards against waiting for an unresponsive upstream until the deadline although the request may be retried.
    @Test
    void requestAtAnUnresponsiveEngineIsRetriedElsewhere() throws Exception {
        Script unresponsive = (request, connection) -> {};
        try (ScriptedUpstream first = new ScriptedUpstream(unresponsive);
                ScriptedUpstream second = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(first, second)) {
            String text = request("GET", "/stream/x", "a1", "").replace("Deadline: 1400", "Deadline: 30000");
            String response = call(entry, text, "done");
            assertThat(statusOf(response)).isEqualTo("200");
            assertThat(first.awaitClosedConnection()).isTrue();
        }
    }

    // Guards against ejecting a plain service because it takes long for a single request.
    @Test
    void plainServiceMayWorkLongOnASingleRequest() throws Exception {
        Script unresponsive = (request, connection) -> {};
        try (ScriptedUpstream first = new ScriptedUpstream(unresponsive);
                ScriptedUpstream second = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(first, second)) {
            assertThat(statusOf(call(entry, request("GET", "/safe/x", "a1", ""), "}}")))
                    .isEqualTo("504");
            assertThat(second.received()).isEmpty();
        }
    }

    // Guards against reporting a request as possibly executed although there is no upstream at all.
    @Test
    void requestWithoutAnUpstreamIsRefusedAtOnce() throws Exception {
        try (EntryFixture entry = new EntryFixture()) {
            String response = call(entry, request("POST", "/once/x", "a1", "order"), "}}");
            assertThat(statusOf(response)).isEqualTo("503");
            assertThat(response).contains("not_run");
        }
    }

    // Guards against a draining instance dropping a request, or keeping the connection open after its response.
    @Test
    void stoppingInstanceAnswersAndThenCloses() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send(request("POST", "/once/x", "a1", "order")).readUntil("done");
            entry.onLoop(() -> {
                entry.server().beginDrain();
                return null;
            });
            String response =
                    caller.send(request("POST", "/once/x", "a2", "order")).readAll();
            assertThat(response).contains("Connection: close");
            assertThat(response).endsWith("done");
        }
    }

    // Guards against losing a pipelined request or answering it out of order.
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send(request("GET", "/safe/x", "a1", "") + request("GET", "/safe/x", "a2", ""));
            String first = caller.readUntil("done");
            String second = caller.readUntil("done");
            assertThat(first).contains("Attempt: a1");
            assertThat(second).contains("Attempt: a2");
        }
    }
}
