package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.ResponseRecorder;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Received;
import org.cranberrybend.entry.upstream.Upstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An upstream with 8 slots that answers when the test says so. Load and durations are set by the test. */
class OverloadAdmissionTest {
    private static final TimeSource TIME = TimeSource.system();
    /** Requests at which the upstream is full. */
    private static final int FULL = 10;
    /** Requests of a service that may wait. */
    private static final int MAX_WAITING = 1_000;

    private record Held(Received request, Socket connection) {}

    private final BlockingQueue<Held> unanswered = new LinkedBlockingQueue<>();

    private ScriptedUpstream upstream() throws Exception {
        return new ScriptedUpstream((received, connection) -> unanswered.add(new Held(received, connection)));
    }

    private void answerNext() throws Exception {
        Held next = unanswered.take();
        write(next.connection(), response(next.request(), "200 OK", "done"));
    }

    private static void learn(EntryFixture entry, int reported, int samples, long durationMs) {
        Upstream upstream = entry.table().find("u0").get();
        for (int i = 0; i < samples; i++) {
            upstream.recordDuration(durationMs);
        }
        upstream.reported(reported, 0, TIME.monotonicMs());
    }

    /** Receives a request on the event loop, where nothing else happens meanwhile. */
    private static ResponseRecorder receive(EntryFixture entry, String path, String attempt) {
        BasicHttpRequest head = new BasicHttpRequest("POST", path);
        head.addHeader("Host", "site.example");
        head.addHeader("Attempt", attempt);
        head.addHeader("Authorization", "Bearer good-key");
        ResponseRecorder caller = new ResponseRecorder();
        entry.handler().handle(new ReceivedRequest(head, new byte[0], TIME.monotonicMs()), caller);
        return caller;
    }

    // Guards against waiting in calm, and with too few samples.
    @ParameterizedTest
    @CsvSource({"9, 20", "1000, 19"})
    void requestIsSentAtOnceUnlessTheOverloadIsKnown(int reported, int samples) throws Exception {
        try (ScriptedUpstream upstream = upstream();
                EntryFixture entry = new EntryFixture(upstream)) {
            ResponseRecorder caller = entry.onLoop(() -> {
                learn(entry, reported, samples, 600_000);
                return receive(entry, "/once/x", "a1");
            });
            assertThat(entry.counter("requests_held_for_room")).isEqualTo(0);
            answerNext();
            assertThat(entry.awaitOnLoop(() -> caller.status() == 200)).isTrue();
        }
    }

    // Guards against sending to a full upstream at once, and against losing a request that waits or making it wait on.
    // It is a stream, whose response time is not known, so that it is not refused because of its deadline.
    @Test
    void requestWaitsAndIsSentAfterAPartOfItsTarget() throws Exception {
        try (ScriptedUpstream upstream = upstream();
                EntryFixture entry = new EntryFixture(upstream)) {
            ResponseRecorder caller = entry.onLoop(() -> {
                learn(entry, FULL, 20, 600_000);
                ResponseRecorder received = receive(entry, "/single/x", "a1");
                assertThat(entry.gaugeOnLoop("requests_waiting_for_room")).isEqualTo(1);
                return received;
            });
            answerNext();
            assertThat(entry.awaitOnLoop(() -> caller.status() == 200)).isTrue();
            assertThat(entry.gauge("requests_waiting_for_room")).isEqualTo(0);
        }
    }

    // Guards against a later request that is sent before a waiting one when there is room again.
    @Test
    void waitingRequestsAreSentInOrderWhenThereIsRoom() throws Exception {
        try (ScriptedUpstream upstream = upstream();
                EntryFixture entry = new EntryFixture(upstream)) {
            entry.onLoop(() -> {
                learn(entry, FULL, 20, 600_000);
                receive(entry, "/single/x", "a1");
                receive(entry, "/single/x", "a2");
                assertThat(entry.gaugeOnLoop("requests_waiting_for_room")).isEqualTo(2);
                learn(entry, 0, 1, 600_000);
                receive(entry, "/single/x", "a3");
                assertThat(entry.gaugeOnLoop("requests_waiting_for_room")).isEqualTo(0);
                return null;
            });
            for (int i = 0; i < 3; i++) {
                answerNext();
            }
            assertThat(entry.counter("requests_held_for_room")).isEqualTo(3);
        }
    }

    // Guards against a queue that is full of requests for one region and keeps requests from the free upstreams of
    // another one, and against a queue without a bound.
    @Test
    void fullQueueKeepsNothingFromFreeUpstreams() throws Exception {
        try (ScriptedUpstream upstream = upstream();
                ScriptedUpstream other = upstream();
                EntryFixture entry = new EntryFixture(upstream)) {
            entry.addEntry("u1", other.port(), "zone-b");
            ResponseRecorder caller = entry.onLoop(() -> {
                RegionConstraint constraint = RegionConstraint.of(List.of("region-a"));
                entry.offer(EntryFixture.configuration(2, constraint, RegionConstraint.NONE));
                learn(entry, FULL, 20, 600_000);
                for (int i = 0; i < MAX_WAITING; i++) {
                    receive(entry, "/single/x", "a" + i);
                }
                assertThat(entry.gaugeOnLoop("requests_waiting_for_room")).isEqualTo(MAX_WAITING);
                assertThat(receive(entry, "/single/x", "b1").status()).isEqualTo(503);
                return receive(entry, "/open/x", "b2");
            });
            assertThat(entry.awaitOnLoop(() -> !other.received().isEmpty())).isTrue();
            assertThat(entry.onLoop(caller::status)).isEqualTo(0);
        }
    }

    // Guards against a refusal that is late, that hides its basis, or that states a time before the end of the excess.
    @Test
    void requestThatCannotBeAnsweredIsRefused() throws Exception {
        try (ScriptedUpstream upstream = upstream();
                EntryFixture entry = new EntryFixture(upstream)) {
            ResponseRecorder caller = entry.onLoop(() -> {
                learn(entry, FULL, 20, 600_000);
                ResponseRecorder received = receive(entry, "/once/x", "a1");
                assertThat(received.status()).isEqualTo(503);
                return received;
            });
            String body = new String(caller.body(), StandardCharsets.UTF_8);
            assertThat(body).contains("\"code\":\"overloaded\"");
            assertThat(body).contains("\"run_state\":\"not_run\"");
            long retryAfterMs = Long.parseLong(body.replaceAll("(?s).*\"retry_after_ms\":([0-9]+).*", "$1"));
            assertThat(retryAfterMs).isAtLeast(3_000);
            assertThat(retryAfterMs).isAtMost(6_000);
            assertThat(upstream.received()).isEmpty();
            assertThat(entry.awaitLog("REQUEST_OVERLOADED")).isTrue();
            assertThat(entry.log()).contains("\"oldest_load_age_ms\":");
        }
    }

    // Guards against requests that stay in the queue after they have ended, and against an answer that hides that they
    // have not run. An instance that is killed with requests waiting has sent nothing of them either.
    @Test
    void endedRequestLeavesTheQueue() throws Exception {
        try (ScriptedUpstream upstream = upstream();
                EntryFixture entry = new EntryFixture(upstream)) {
            entry.onLoop(() -> {
                learn(entry, FULL, 20, 600_000);
                ResponseRecorder first = receive(entry, "/single/x", "a1");
                ResponseRecorder second = receive(entry, "/single/x", "a2");
                assertThat(entry.gaugeOnLoop("requests_waiting_for_room")).isEqualTo(2);
                entry.requests().refuseNew();
                entry.requests().endAll();
                assertThat(entry.gaugeOnLoop("requests_waiting_for_room")).isEqualTo(0);
                for (ResponseRecorder each : List.of(first, second)) {
                    assertThat(new String(each.body(), StandardCharsets.UTF_8)).contains("\"run_state\":\"not_run\"");
                }
                return null;
            });
            assertThat(upstream.received()).isEmpty();
        }
    }
}
