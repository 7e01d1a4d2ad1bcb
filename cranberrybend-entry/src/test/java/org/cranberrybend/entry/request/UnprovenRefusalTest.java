package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.chunk;
import static org.cranberrybend.entry.testing.Responses.event;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.Responses.statusOf;
import static org.cranberrybend.entry.testing.Responses.streamHead;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams that execute a request and then answer with a status that promises that they have not. */
class UnprovenRefusalTest {
    private static Script answering(String status) {
        return (received, connection) -> write(connection, response(received, status, "own"));
    }

    private static String call(EntryFixture entry, String path, String attempt) throws Exception {
        try (RawCaller caller = entry.caller()) {
            return caller.send(request("POST", path, attempt, "order").replace("\n\n", "\nConnection: close\n\n"))
                    .readAll();
        }
    }

    // Guards against a caller that repeats an order that was executed, because the status of the upstream, which
    // promises that it was not, is passed on although the response does not state it.
    @ParameterizedTest
    @CsvSource({
        "503 Odd, /once/x",
        "429 Odd, /once/x",
        "408 Odd, /once/x",
        "503 Odd, /safe/x",
        "429 Odd, /safe/x",
        "408 Odd, /safe/x",
        "503 Odd, /stream/x",
        "429 Odd, /stream/x",
        "408 Odd, /stream/x"
    })
    void unprovenRefusalDoesNotReachTheCaller(String status, String path) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(answering(status));
                EntryFixture entry = new EntryFixture(upstream)) {
            String response = call(entry, path, "a1");
            assertThat(statusOf(response)).isEqualTo("502");
            assertThat(response).contains("outcome_unknown");
            assertThat(response).doesNotContain("Signature");
            assertThat(response).doesNotContain("Retry-After");
            assertThat(entry.counted("alpha")).isEqualTo(1);
        }
    }

    // Guards against an order that is executed by two upstreams, since the first one seems not to have executed it.
    @ParameterizedTest
    @ValueSource(strings = {"503 Odd", "429 Odd", "408 Odd"})
    void unprovenRefusalOfARequestThatRunsOnceIsNotRetried(String status) throws Exception {
        try (ScriptedUpstream first = new ScriptedUpstream(answering(status));
                ScriptedUpstream second = new ScriptedUpstream(answering(status));
                EntryFixture entry = new EntryFixture(first, second)) {
            assertThat(statusOf(call(entry, "/once/x", "a1"))).isEqualTo("502");
            assertThat(first.received().size() + second.received().size()).isEqualTo(1);
        }
    }

    // Guards against a refusal of a request that another upstream may have executed before.
    @ParameterizedTest
    @ValueSource(strings = {"503 Odd", "429 Odd", "408 Odd"})
    void refusalAfterAnUnprovenOneMakesNoPromise(String status) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        Script script = (received, connection) -> {
            boolean first = requests.incrementAndGet() == 1;
            write(connection, response(received, first ? status : "503 Odd\r\nNot-Run: 1", "own"));
        };
        try (ScriptedUpstream first = new ScriptedUpstream(script);
                ScriptedUpstream second = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(first, second)) {
            assertThat(statusOf(call(entry, "/safe/x", "a1"))).isEqualTo("502");
            assertThat(requests.get()).isAtLeast(2);
        }
    }

    // Guards against a refusal that is replaced although the upstream states that it has not executed the request, and
    // against other statuses that no longer reach the caller unchanged.
    @ParameterizedTest
    @CsvSource({
        "'503 Odd\r\nNot-Run: 1', 503, not_run",
        "'429 Odd\r\nNot-Run: 1', 503, not_run",
        "'408 Odd\r\nNot-Run: 1', 503, not_run",
        "421 Odd, 503, not_run",
        "404 Odd, 404, Signature: s1",
        "409 Odd, 409, Signature: s1",
        "425 Odd, 425, Signature: s1",
        "500 Odd, 500, Signature: s1",
        "504 Odd, 504, Signature: s1"
    })
    void otherResponsesKeepTheirMeaning(String status, String expectedStatus, String expectedText) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(answering(status));
                EntryFixture entry = new EntryFixture(upstream)) {
            String response = call(entry, "/once/x", "a1");
            assertThat(statusOf(response)).isEqualTo(expectedStatus);
            assertThat(response).contains(expectedText);
        }
    }

    // Guards against an upstream that is ejected because it limits the rate of a caller.
    @ParameterizedTest
    @ValueSource(strings = {"429 Odd", "408 Odd"})
    void refusalOfACallerIsNoFailureOfTheUpstream(String status) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(answering(status));
                EntryFixture entry = new EntryFixture(upstream)) {
            for (String attempt : List.of("a1", "a2", "a3", "a4", "a5", "a6")) {
                call(entry, "/once/x", attempt);
            }
            assertThat(upstream.received()).hasSize(6);
            assertThat(entry.log()).doesNotContain("UPSTREAM_UNHEALTHY");
        }
    }

    // Guards against a stream that continues with such a response, or ends as if it were complete.
    @ParameterizedTest
    @ValueSource(strings = {"503 Odd", "429 Odd", "408 Odd"})
    void unprovenRefusalInPlaceOfTheRestBreaksTheStreamOff(String status) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        Script script = (received, connection) -> {
            boolean first = requests.incrementAndGet() == 1;
            write(
                    connection,
                    first ? streamHead(received) + chunk(event(1)) + "5\r\nid" : response(received, status, "own"));
            if (first) {
                connection.close();
            }
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                ScriptedUpstream other = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream, other)) {
            String response = call(entry, "/stream/x", "a1");
            assertThat(response).contains(event(1));
            assertThat(response).doesNotContain("own");
            assertThat(response).doesNotContain("0\r\n\r\n");
        }
    }

    // Guards against an error of this program that promises what it does not know.
    @ParameterizedTest
    @EnumSource
    void ownErrorWithAnUnknownOutcomeMakesNoPromise(ErrorCode code) {
        Object[] arguments = {1, 2, 3};
        if (RefusalStatus.includes(code.httpStatus())) {
            assertThrows(RuntimeException.class, () -> ErrorResponse.outcomeUnknown(code, arguments));
        }
    }
}
