package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.entry.testing.EntryFixture.request;
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
    private static final Script SERVES = (request, connection) -> write(connection, answer(request, "200 OK", "done"));
    private static final Script LOSES = (request, connection) -> connection.close();
    private static final Script REJECTS =
            (request, connection) -> write(connection, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

    private static String answer(Received request, String status, String body) {
        return "HTTP/1.1 " + status + "\r\nAttempt: " + request.headers().get("attempt")
                + "\r\nSignature: s1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String streamHead(Received request) {
        return "HTTP/1.1 200 OK\r\nAttempt: " + request.headers().get("attempt")
                + "\r\nSignature: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: e" + id + "\n\n";
    }

    private static String statusOf(String response) {
        return response.isEmpty() ? "none" : response.substring(9, 12);
    }

    private static String call(EntryFixture entry, String text, String end) throws Exception {
        try (RawCaller caller = entry.caller()) {
            return caller.send(text).readUntil(end);
        }
    }

    // Guards against a request that cannot run twice being sent again after its answer was lost, and against a
    // refusal that says that it has not run.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/single/x"})
    void lostAnswerOfARequestThatRunsOnceIsNotRepeated(String path) throws Exception {
        try (ScriptedUpstream first = new ScriptedUpstream(LOSES);
                ScriptedUpstream second = new ScriptedUpstream(LOSES);
                EntryFixture entry = new EntryFixture(first, second)) {
            assertThat(statusOf(call(entry, request("POST", path, "a1", "order"), "}}")))
                    .isEqualTo("502");
            assertThat(first.received().size() + second.received().size()).isEqualTo(1);
        }
    }

    // Guards against a lost answer of a repeatable request that the caller sees as a failure.
    @Test
    void lostAnswerOfARepeatableRequestIsRepeatedElsewhere() throws Exception {
        try (ScriptedUpstream first = new ScriptedUpstream(LOSES);
                ScriptedUpstream second = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(first, second)) {
            assertThat(statusOf(call(entry, request("GET", "/safe/x", "a1", ""), "done")))
                    .isEqualTo("200");
        }
    }

    // Guards against a refusal that is passed on though another upstream takes the request, and against more tries than
    // the route allows.
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

    // Guards against answers that belong to another request, are not an upstream's, or are not whole.
    static Stream<Arguments> answersThatAreNotPassedOn() {
        return Stream.of(
                Arguments.of("another attempt", "Attempt: other\r\nSignature: s1\r\nContent-Length: 4\r\n\r\ndone"),
                Arguments.of("no signature", "Attempt: a1\r\nContent-Length: 4\r\n\r\ndone"),
                Arguments.of("no attempt", "Signature: s1\r\nContent-Length: 4\r\n\r\ndone"),
                Arguments.of("short body", "Attempt: a1\r\nSignature: s1\r\nContent-Length: 9\r\n\r\ndone"),
                Arguments.of("bad chunk", "Attempt: a1\r\nSignature: s1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("answersThatAreNotPassedOn")
    void answerThatCannotBeTrustedIsNotPassedOn(String name, String rest) throws Exception {
        Script script = (request, connection) -> {
            write(connection, "HTTP/1.1 200 OK\r\n" + rest);
            connection.close();
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream)) {
            String response = call(entry, request("POST", "/once/x", "a1", "order"), "}}");
            assertThat(statusOf(response)).isEqualTo("502");
            assertThat(response).doesNotContain("done");
        }
    }

    // Guards against a body without a length that was cut by a reset and passed on as complete.
    @Test
    void bodyWithoutALengthThatIsResetIsNotPassedOn() throws Exception {
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

    // Guards against bytes after a complete answer that meet the next request of the connection.
    @Test
    void bytesAfterACompleteAnswerDoNotReachTheNextRequest() throws Exception {
        Script script = (request, connection) -> {
            write(connection, answer(request, "200 OK", "done") + answer(request, "200 OK", "extra"));
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

    // Guards against a failure of an upstream that is changed on its way, and counts it as run.
    @Test
    void failureOfAnUpstreamIsPassedOnUnchanged() throws Exception {
        Script script = (request, connection) -> write(connection, answer(request, "500 Broken", "oops"));
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream)) {
            String response = call(entry, request("POST", "/once/x", "a1", "order"), "oops");
            assertThat(response).startsWith("HTTP/1.1 500 Broken");
            assertThat(response).contains("Signature: s1");
            assertThat(entry.counted("alpha")).isEqualTo(1);
        }
    }

    // Guards against keys that reach an upstream and against headers that a caller must not set.
    @Test
    void upstreamSeesTheAccountAndNeverTheKey() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(SERVES);
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

    // Guards against a request that hides in the body of another one, and against framing read in two ways.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\nTransfer-Encoding: chunked\n\n0\n\nGET /safe/hidden HTTP/1.1\n\n",
                "Content-Length: 5\nContent-Length: 6\n\nhello!",
                "Transfer-Encoding: gzip, chunked\n\n0\n\n",
                "X-Odd\u0001: a\nContent-Length: 0\n\n"
            })
    void ambiguousRequestIsRefused(String rest) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send("POST /once/x HTTP/1.1\nHost: site.example\nAttempt: a1\n" + "Authorization: Bearer good-key\n"
                    + rest);
            String response = caller.readAll();
            assertThat(statusOf(response)).isEqualTo("400");
            assertThat(response.split("HTTP/1.1", -1).length).isEqualTo(2);
            assertThat(upstream.received()).isEmpty();
        }
    }

    // Guards against work for a caller that gave up while the instance was too busy to read its request.
    @Test
    void requestOfACallerThatLeftBeforeItWasReadIsNotPassedOn() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(upstream)) {
            RawCaller leaving = entry.caller();
            CountDownLatch busy = new CountDownLatch(1);
            CountDownLatch left = new CountDownLatch(1);
            Future<Void> blocked = entry.later(() -> {
                busy.countDown();
                left.await();
                return null;
            });
            busy.await();
            leaving.send(request("GET", "/safe/x", "a1", ""));
            leaving.close();
            left.countDown();
            blocked.get();
            try (RawCaller staying = entry.caller()) {
                staying.send(request("GET", "/safe/x", "a2", ""));
                assertThat(statusOf(staying.readUntil("\r\n\r\n"))).isEqualTo("200");
            }
            assertThat(upstream.received()).hasSize(1);
        }
    }

    // Guards against a refused request without a line that explains it.
    @Test
    void requestThatCannotBeReadIsLogged() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            caller.send("POST /once/x HTTP/1.1\nHost: site.example\nAttempt: odd-1\nContent-Length: 5\n"
                    + "Transfer-Encoding: chunked\n\n0\n\n");
            caller.readAll();
            assertThat(entry.awaitLog("\"subject\":\"odd-1\",\"fields\":{\"status\":400,\"cause\":\"Bad Request\""))
                    .isTrue();
        }
    }

    // Guards against refusals of requests that are allowed, and service to those that are not.
    @ParameterizedTest
    @ValueSource(strings = {"/none/x:404", "/safe/x:401", "/open/x:200", "/safex:404"})
    void routeAndKeyDecideWhoIsServed(String pathAndStatus) throws Exception {
        String path = pathAndStatus.substring(0, pathAndStatus.indexOf(':'));
        try (ScriptedUpstream upstream = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(upstream)) {
            String text = request("GET", path, "a1", "").replace("Bearer good-key", "Bearer bad-key");
            String response = call(entry, text, pathAndStatus.endsWith("200") ? "done" : "}}");
            assertThat(statusOf(response)).isEqualTo(pathAndStatus.substring(pathAndStatus.indexOf(':') + 1));
        }
    }

    // Guards against a stream that is joined from two runs, loses an event, or shows one twice.
    @Test
    void brokenStreamGoesOnAtAnotherUpstreamAfterItsLastWholeEvent() throws Exception {
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
            public synchronized void answer(Received request, java.net.Socket connection) throws java.io.IOException {
                Script script = broken ? continues : breaks;
                broken = true;
                script.answer(request, connection);
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

    // Guards against a cut stream that looks complete where it must not be resumed.
    @Test
    void brokenStreamThatMayNotBeResumedIsCut() throws Exception {
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

    // Guards against upstreams that work on after their caller has left.
    @Test
    void callerThatLeavesEndsTheWorkAtTheUpstream() throws Exception {
        Script silent = (request, connection) -> {};
        try (ScriptedUpstream upstream = new ScriptedUpstream(silent);
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

    // Guards against a caller that waits beyond the route's time, and a refusal that claims that nothing ran.
    @Test
    void silentUpstreamEndsInATimeoutAnswer() throws Exception {
        Script silent = (request, connection) -> {};
        try (ScriptedUpstream upstream = new ScriptedUpstream(silent);
                EntryFixture entry = new EntryFixture(upstream)) {
            String response = call(entry, request("POST", "/once/x", "a1", "order"), "}}");
            assertThat(statusOf(response)).isEqualTo("504");
            assertThat(upstream.awaitClosedConnection()).isTrue();
        }
    }

    // Guards against requests that wait for a silent upstream until their time is over though they may run elsewhere.
    @Test
    void silentEngineIsLeftForAnotherOne() throws Exception {
        Script silent = (request, connection) -> {};
        try (ScriptedUpstream first = new ScriptedUpstream(silent);
                ScriptedUpstream second = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(first, second)) {
            String text = request("GET", "/stream/x", "a1", "").replace("Deadline: 1400", "Deadline: 30000");
            String response = call(entry, text, "done");
            assertThat(statusOf(response)).isEqualTo("200");
            assertThat(first.awaitClosedConnection()).isTrue();
        }
    }

    // Guards against a plain service that is set aside because it works long on a single request.
    @Test
    void plainServiceMayWorkLongOnASingleRequest() throws Exception {
        Script silent = (request, connection) -> {};
        try (ScriptedUpstream first = new ScriptedUpstream(silent);
                ScriptedUpstream second = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(first, second)) {
            assertThat(statusOf(call(entry, request("GET", "/safe/x", "a1", ""), "}}")))
                    .isEqualTo("504");
            assertThat(second.received()).isEmpty();
        }
    }

    // Guards against a refusal that claims a run where there is no upstream at all.
    @Test
    void requestWithoutAnUpstreamIsRefusedAtOnce() throws Exception {
        try (EntryFixture entry = new EntryFixture()) {
            String response = call(entry, request("POST", "/once/x", "a1", "order"), "}}");
            assertThat(statusOf(response)).isEqualTo("503");
            assertThat(response).contains("not_run");
        }
    }

    // Guards against a stopping instance that drops a request it has read, or keeps a connection after its answer.
    @Test
    void stoppingInstanceAnswersAndThenCloses() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(SERVES);
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

    // Guards against a second request of a kept connection that is lost or answered out of order.
    @Test
    void requestsSentAheadAreAnsweredInOrder() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(SERVES);
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
