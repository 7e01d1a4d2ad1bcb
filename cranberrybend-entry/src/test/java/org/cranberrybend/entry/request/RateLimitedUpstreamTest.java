package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.entry.testing.EntryFixture.countRefusals;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.chunk;
import static org.cranberrybend.entry.testing.Responses.event;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.Responses.statusOf;
import static org.cranberrybend.entry.testing.Responses.streamHead;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Received;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams that state in their responses how many requests per second they take from all instances together. */
class RateLimitedUpstreamTest {
    private static final TimeSource TIME = TimeSource.system();
    private static final Script SERVES =
            (received, connection) -> write(connection, response(received, "200 OK", "done"));
    /** Interval of a sole sender at one request per second. */
    private static final long INTERVAL_MS = 1_000;

    private static Script limitedTo(String rate) {
        return (received, connection) ->
                write(connection, withHeader(response(received, "200 OK", "done"), "Limit: " + rate));
    }

    private static String withHeader(String response, String header) {
        return response.replaceFirst("\r\n", "\r\n" + header + "\r\n");
    }

    private static String text(String path, String attempt) {
        return request("POST", path, attempt, "order")
                .replace("\nDeadline: 1400", "\nConnection: close\nDeadline: 30000");
    }

    private static String call(EntryFixture entry, String path, String attempt) throws Exception {
        try (RawCaller caller = entry.caller()) {
            return caller.send(text(path, attempt)).readAll();
        }
    }

    // Guards against more requests than the upstream has stated, and against refusals that are late or untrue.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/safe/x"})
    void requestsBeyondTheLimitWaitAndAreRefused(String path) throws Exception {
        try (ScriptedUpstream limited = new ScriptedUpstream(limitedTo("1"));
                EntryFixture entry = new EntryFixture(limited)) {
            entry.settleRoster();
            assertThat(statusOf(call(entry, path, "first"))).isEqualTo("200");
            long startMs = TIME.monotonicMs();
            List<String> requests = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                requests.add(text(path, "a" + i));
            }
            int refused = countRefusals(entry.callAtOnce(requests));
            long elapsedMs = TIME.monotonicMs() - startMs;
            int sent = limited.received().size() - 1;
            assertThat((long) sent).isAtMost(elapsedMs / INTERVAL_MS + 1);
            assertThat(refused).isEqualTo(requests.size() - sent);
            assertThat(entry.awaitLog("UPSTREAM_LIMITED")).isTrue();
            assertThat(entry.log()).doesNotContain("UPSTREAM_UNHEALTHY");
        }
    }

    // Guards against an instance that sends its whole traffic because it does not know how many others there are, and
    // against requests that are held for an upstream of which this instance has no share.
    @Test
    void instanceWithoutARosterSendsNothingMore() throws Exception {
        try (ScriptedUpstream limited = new ScriptedUpstream(limitedTo("5"));
                EntryFixture entry = new EntryFixture(limited)) {
            assertThat(statusOf(call(entry, "/once/x", "a1"))).isEqualTo("200");
            String answer = call(entry, "/once/x", "a2");
            assertThat(statusOf(answer)).isEqualTo("503");
            assertThat(answer).contains("\"run_state\":\"not_run\"");
            assertThat(limited.received()).hasSize(1);
        }
    }

    // Guards against requests that wait for a limited upstream although another one can serve them, and against callers
    // that see a statement meant for this instance.
    @Test
    void excessGoesToAnotherUpstream() throws Exception {
        try (ScriptedUpstream limited = new ScriptedUpstream(limitedTo("0.01"));
                ScriptedUpstream other = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(limited, other)) {
            entry.settleRoster();
            for (int i = 0; limited.received().isEmpty(); i++) {
                assertThat(call(entry, "/once/x", "f" + i)).doesNotContain("Limit");
            }
            for (int i = 0; i < 8; i++) {
                assertThat(statusOf(call(entry, "/once/x", "a" + i))).isEqualTo("200");
            }
            // The request that made the limit known, and one as the share of this instance.
            assertThat(limited.received().size()).isAtMost(2);
            assertThat(other.received().size()).isAtLeast(7);
        }
    }

    // Guards against a value that is no rate and limits an upstream, or ends its limit.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "''|200",
                "none|200",
                "-1|200",
                "NaN|200",
                "Infinity|200",
                "1e-9|200",
                "0x1|200",
                "1,5|200",
                "1000000000000|200",
                "0.0|503",
                "0.5|503",
                ".5|503",
                "1.|503"
            })
    void onlyANumberIsARate(String value, String expectedStatus) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(limitedTo(value));
                EntryFixture entry = new EntryFixture(upstream)) {
            assertThat(statusOf(call(entry, "/once/x", "a1"))).isEqualTo("200");
            assertThat(statusOf(call(entry, "/once/x", "a2"))).isEqualTo(expectedStatus);
        }
    }

    // Guards against a limit that stays after the upstream states none, and against one that ends because a rejection,
    // the response of another process, or one that cannot be read does not repeat it.
    @ParameterizedTest
    @CsvSource({
        "200 OK, '', true",
        "500 Internal Server Error, '', true",
        "503 Busy, 'Not-Run: 1', false",
        "421 Misdirected Request, '', false",
        "200 OK, 'Limit: odd', false"
    })
    void limitEndsWithAResponseWithoutOne(String status, String header, boolean ends) throws Exception {
        Script script = new Script() {
            private int count;

            @Override
            public void respond(Received received, Socket connection) throws IOException {
                String next = response(received, ++count == 1 ? "200 OK" : status, "done");
                if (status.startsWith("503") && count > 1) {
                    next = next.replace("Signature: s1\r\n", "");
                }
                String added = count == 1 ? "Limit: 1" : header;
                write(connection, added.isEmpty() ? next : withHeader(next, added));
            }
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream)) {
            entry.settleRoster();
            call(entry, "/once/x", "a1");
            call(entry, "/once/x", "a2");
            assertThat(upstream.received()).hasSize(2);
            assertThat(entry.gauge("upstreams_rate_limited")).isEqualTo(ends ? 0 : 1);
            assertThat(entry.log().contains("UPSTREAM_LIMIT_ENDED") || !ends || entry.awaitLog("UPSTREAM_LIMIT_ENDED"))
                    .isTrue();
        }
    }

    // Guards against a retry or a resumed stream that is sent beside the share.
    @ParameterizedTest
    @CsvSource({"/stream/x, false, 0", "/stream/x, true, 1", "/safe/x, false, 0", "/safe/x, true, 1"})
    void retryAndResumptionDrawFromTheShare(String path, boolean settled, int expectedSends) throws Exception {
        Script breaksOff = (received, connection) -> {
            write(connection, path.contains("stream") ? streamHead(received) + chunk(event(1)) : "HTTP/1.1 200 OK\r\n");
            connection.close();
        };
        try (ScriptedUpstream first = new ScriptedUpstream(breaksOff);
                ScriptedUpstream limited = new ScriptedUpstream(limitedTo("0.1"));
                EntryFixture entry = new EntryFixture(first, limited)) {
            if (settled) {
                entry.settleRoster();
            }
            entry.onLoop(() -> {
                entry.table().rateLimits().recordLimit(entry.table().find("u1").get(), 0.1);
                return null;
            });
            // With a share, the upstream takes one request: the first attempt, or the retry after the other one broke
            // off.
            call(entry, path, "a1");
            call(entry, path, "a2");
            assertThat(limited.received()).hasSize(expectedSends);
            assertThat(entry.gauge("rate_limited_sends")).isEqualTo(expectedSends);
        }
    }

    // Guards against a request that is sent although a limit became known while its connection was established, and
    // against a share that is lost because no connection was established.
    @Test
    void shareIsTakenWhenTheRequestIsSent() throws Exception {
        ScriptedUpstream gone = new ScriptedUpstream(SERVES);
        int port = gone.port();
        gone.close();
        try (EntryFixture entry = new EntryFixture()) {
            entry.settleRoster();
            entry.addEntry("u0", port);
            entry.onLoop(() -> {
                entry.table().rateLimits().recordLimit(entry.table().find("u0").get(), 0.1);
                return null;
            });
            assertThat(statusOf(call(entry, "/once/x", "a1"))).isEqualTo("503");
            assertThat(entry.gauge("rate_limited_sends")).isEqualTo(0);
            try (ScriptedUpstream next = new ScriptedUpstream(SERVES)) {
                entry.addEntry("u1", next.port());
                assertThat(statusOf(call(entry, "/once/x", "a2"))).isEqualTo("200");
            }
        }
    }
}
