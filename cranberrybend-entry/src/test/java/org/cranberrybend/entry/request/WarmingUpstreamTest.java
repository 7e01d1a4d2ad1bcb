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

import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ResponseRecorder;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams that are warming up. Their phase is longer than any test, so that no result depends on its end. */
class WarmingUpstreamTest {
    private static final TimeSource TIME = TimeSource.system();
    private static final Script SERVES =
            (received, connection) -> write(connection, response(received, "200 OK", "done"));
    private static final long REMAINING_MS = 900_000;
    /** Interval of one of three senders at 9.5 requests per second. */
    private static final long INTERVAL_MS = 334;

    private static String text(String path, String attempt) {
        return request("POST", path, attempt, "order")
                .replace("\nDeadline: 1400", "\nConnection: close\nDeadline: 30000");
    }

    private static String call(EntryFixture entry, String path, String attempt) throws Exception {
        try (RawCaller caller = entry.caller()) {
            return caller.send(text(path, attempt)).readAll();
        }
    }

    // Guards against more requests than the slice of this instance, and against refusals that are late or untrue.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/safe/x"})
    void requestsBeyondTheSliceWaitAndAreRefused(String path) throws Exception {
        try (ScriptedUpstream cold = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(cold)) {
            entry.settleRoster();
            entry.addEntry("u0", cold.port(), REMAINING_MS);
            long startMs = TIME.monotonicMs();
            List<String> requests = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                requests.add(text(path, "a" + i));
            }
            int refused = countRefusals(entry.callAtOnce(requests));
            long elapsedMs = TIME.monotonicMs() - startMs;
            assertThat(cold.received()).isNotEmpty();
            assertThat((long) cold.received().size()).isAtMost(elapsedMs / INTERVAL_MS + 1);
            assertThat(refused).isEqualTo(requests.size() - cold.received().size());
            assertThat(entry.log()).doesNotContain("UPSTREAM_UNHEALTHY");
            assertThat(entry.awaitLog("UPSTREAM_WARMING_UP")).isTrue();
        }
    }

    // Guards against sending to a cold upstream without knowing the instances, and against a Retry-After that says
    // nothing of the end of the warm-up.
    @Test
    void instanceWithoutARosterSendsNothing() throws Exception {
        try (ScriptedUpstream cold = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(cold)) {
            entry.addEntry("u0", cold.port(), REMAINING_MS);
            String answer = call(entry, "/once/x", "a1");
            assertThat(statusOf(answer)).isEqualTo("503");
            assertThat(answer).contains("\"run_state\":\"not_run\"");
            double retryAfterS = Double.parseDouble(answer.replaceAll("(?s).*Retry-After: ([0-9.]+).*", "$1"));
            assertThat(retryAfterS).isAtLeast(100.0);
            assertThat(cold.received()).isEmpty();
        }
    }

    // Guards against requests that wait for a cold upstream although another one can serve them.
    @Test
    void requestGoesToAnUpstreamThatIsWarm() throws Exception {
        try (ScriptedUpstream cold = new ScriptedUpstream(SERVES);
                ScriptedUpstream warm = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(cold, warm)) {
            entry.addEntry("u0", cold.port(), REMAINING_MS);
            for (int i = 0; i < 6; i++) {
                assertThat(statusOf(call(entry, "/once/x", "a" + i))).isEqualTo("200");
            }
            assertThat(cold.received()).isEmpty();
        }
    }

    // Guards against a retry or a resumed stream that is sent beside the slice.
    @ParameterizedTest
    @CsvSource({"/stream/x, false, 0", "/stream/x, true, 1", "/safe/x, false, 0", "/safe/x, true, 1"})
    void retryAndResumptionDrawFromTheSlice(String path, boolean settled, int expectedSends) throws Exception {
        Script breaksOff = (received, connection) -> {
            write(connection, path.contains("stream") ? streamHead(received) + chunk(event(1)) : "HTTP/1.1 200 OK\r\n");
            connection.close();
        };
        try (ScriptedUpstream first = new ScriptedUpstream(breaksOff);
                ScriptedUpstream cold = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(first, cold)) {
            if (settled) {
                entry.settleRoster();
            }
            entry.addEntry("u1", cold.port(), REMAINING_MS);
            // Only the retry may use the slot: the first attempt prefers the upstream that comes first in order.
            call(entry, path, "a1");
            assertThat(first.received()).hasSize(1);
            assertThat(cold.received()).hasSize(expectedSends);
            assertThat(entry.onLoop(() -> entry.warmUp().sentCount())).isEqualTo(expectedSends);
        }
    }

    // Guards against unlimited requests to a process that starts again at the address of one that has ended.
    @Test
    void upstreamThatRefusedAConnectionIsLimited() throws Exception {
        ScriptedUpstream gone = new ScriptedUpstream(SERVES);
        int port = gone.port();
        gone.close();
        try (EntryFixture entry = new EntryFixture()) {
            entry.addEntry("u0", port);
            assertThat(statusOf(call(entry, "/once/x", "a1"))).isEqualTo("503");
            assertThat(entry.awaitLog("refused connection")).isTrue();
        }
    }

    // Guards against a slot that is lost because no connection was established.
    @Test
    void slotIsGivenBackIfNothingWasSent() throws Exception {
        ScriptedUpstream gone = new ScriptedUpstream(SERVES);
        int port = gone.port();
        gone.close();
        try (EntryFixture entry = new EntryFixture()) {
            entry.settleRoster();
            entry.addEntry("u0", port, REMAINING_MS);
            assertThat(statusOf(call(entry, "/once/x", "a1"))).isEqualTo("503");
            assertThat(entry.onLoop(
                            () -> entry.warmUp().admits(entry.table().find("u0").get(), TIME.monotonicMs())))
                    .isTrue();
            assertThat(entry.onLoop(() -> entry.warmUp().sentCount())).isEqualTo(0);
        }
    }

    // Guards against a request that is sent although its upstream became cold while the connection was established, and
    // against a slot that another request takes in the meantime.
    @ParameterizedTest
    @CsvSource({"false, 0", "true, 1"})
    void requestThatWaitsForItsConnectionNeedsASlot(boolean settled, int expectedSends) throws Exception {
        try (ScriptedUpstream cold = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(cold)) {
            if (settled) {
                entry.settleRoster();
            }
            ResponseRecorder exchange = new ResponseRecorder();
            entry.later(() -> {
                entry.handler().handle(orderRequest(), exchange);
                entry.addEntryOnLoop("u0", cold.port(), REMAINING_MS);
                return null;
            });
            while (entry.onLoop(exchange::status) == 0) {
                Thread.onSpinWait();
            }
            assertThat(entry.onLoop(exchange::status)).isEqualTo(settled ? 200 : 503);
            assertThat(cold.received()).hasSize(expectedSends);
        }
    }

    private static ReceivedRequest orderRequest() {
        BasicHttpRequest head = new BasicHttpRequest("POST", "/once/x");
        head.addHeader("Host", "site.example");
        head.addHeader("Attempt", "a1");
        head.addHeader("Authorization", "Bearer good-key");
        return new ReceivedRequest(head, new byte[0], TIME.monotonicMs());
    }
}
