package org.cranberrybend.router;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.router.RouterHarness.CHAT;
import static org.cranberrybend.router.RouterHarness.request;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.configuration.RevocationSet;
import org.cranberrybend.core.event.EventCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streamed completions are relayed completely or end with an error event. */
class StreamingTest {
    private static final String CHAT_PATH = "/v1/chat/completions";

    /** Guards against changes visible to a caller of a stream: headers, framing, events and their order. */
    @Test
    void wholeStreamMatchesTheGoldenSession() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream engine = new FakeUpstream("engine-1")) {
            harness.process.setUpstreams(List.of(engine.upstream("model-a", "zone-a", "region-1", 2)));
            String session = harness.send(request("POST", CHAT_PATH, "X-Request-Class: plan\r\n", CHAT));
            assertThat(session.replace("\r\n", "\n")).isEqualTo(Golden.read("stream.txt"));
            assertThat(engine.received).hasSize(1);
            assertThat(engine.received.get(0)).contains("\"priority\":2");
            assertThat(engine.received.get(0)).contains("X-Request-Id: req-1");
            assertThat(harness.eventsOf("req-1"))
                    .containsExactly("REQUEST_ACCEPTED", "REQUEST_QUEUED", "REQUEST_DISPATCHED", "REQUEST_COMPLETED")
                    .inOrder();
        }
    }

    /** Guards against duplicated or lost tokens when a stream resumes on another engine. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 4})
    void cutStreamResumesAtTheExactOffset(int cutAfterTokens) throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream first = new FakeUpstream("engine-1");
                FakeUpstream second = new FakeUpstream("engine-2")) {
            first.cutAfterTokens = cutAfterTokens;
            harness.process.setUpstreams(List.of(
                    first.upstream("model-a", "zone-a", "region-1", 2),
                    second.upstream("model-a", "zone-a", "region-1", 2)));
            String session = harness.send(request("POST", CHAT_PATH, "X-Request-Class: plan\r\n", CHAT));
            assertThat(session.replace("\r\n", "\n")).isEqualTo(Golden.read("stream.txt"));
            String resumeFrom = second.received.get(0).replaceAll("(?s).*\"resume_from\":([0-9]+).*|.*", "$1");
            assertThat(resumeFrom).isEqualTo(cutAfterTokens == 0 ? "" : String.valueOf(cutAfterTokens));
        }
    }

    /** Guards against a resumed stream that appears complete although tokens are missing. */
    @Test
    void resumedStreamThatSkipsTokensEndsWithAnErrorEvent() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream first = new FakeUpstream("engine-1");
                FakeUpstream second = new FakeUpstream("engine-2")) {
            first.cutAfterTokens = 1;
            second.skipOnResume = 1;
            harness.process.setUpstreams(List.of(
                    first.upstream("model-a", "zone-a", "region-1", 2),
                    second.upstream("model-a", "zone-a", "region-1", 2)));
            String session = harness.send(request("POST", CHAT_PATH, "", CHAT));
            assertThat(session).contains("\"code\":\"upstream_cut\"");
            assertThat(session).contains("\"run_state\":\"ran\"");
            assertThat(session).doesNotContain("[DONE]");
        }
    }

    /** Guards against a silently truncated stream when no other engine is available. */
    @Test
    void streamWithoutAnotherEngineEndsWithAnErrorEvent() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream engine = new FakeUpstream("engine-1")) {
            engine.cutAfterTokens = 2;
            harness.process.setUpstreams(List.of(engine.upstream("model-a", "zone-a", "region-1", 2)));
            String session = harness.send(request("POST", CHAT_PATH, "", CHAT));
            assertThat(session).contains("The answer was cut after 2 tokens.");
            assertThat(session).doesNotContain("[DONE]");
            assertThat(harness.broker.slotsInUse()).isEqualTo(0);
        }
    }

    /** Guards against relaying the response to another request. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void responseWithAnotherRequestIdentifierIsRejected(boolean stream) throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream engine = new FakeUpstream("engine-1")) {
            engine.wrongRequestId = "req-other";
            harness.process.setUpstreams(List.of(engine.upstream("model-a", "zone-a", "region-1", 2)));
            String body = CHAT.replace("\"stream\":true", "\"stream\":" + stream);
            String session = harness.send(request("POST", CHAT_PATH, "", body));
            assertThat(session).startsWith("HTTP/1.1 502");
            assertThat(session).doesNotContain("t1");
            assertThat(session).contains("\"run_state\":\"outcome_unknown\"");
        }
    }

    /** Guards against an error for the caller when a retry on another engine would succeed. */
    @ParameterizedTest
    @ValueSource(strings = {"refuse", "lose", "wrong"})
    void failureBeforeTheFirstByteIsRetried(String fault) throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream first = new FakeUpstream("engine-1");
                FakeUpstream second = new FakeUpstream("engine-2")) {
            first.rejecting = fault.equals("refuse");
            first.losingResponse = fault.equals("lose");
            first.wrongRequestId = fault.equals("wrong") ? "req-other" : null;
            harness.process.setUpstreams(List.of(
                    first.upstream("model-a", "zone-a", "region-1", 2),
                    second.upstream("model-a", "zone-a", "region-1", 2)));
            String body = CHAT.replace("\"stream\":true", "\"stream\":false");
            String session = harness.send(request("POST", CHAT_PATH, "", body));
            assertThat(session).startsWith("HTTP/1.1 200");
            assertThat(session).contains("t1t2t3t4");
            assertThat(first.received).hasSize(1);
            assertThat(harness.eventsOf("req-1")).contains("REQUEST_RETRIED");
        }
    }

    /** Guards against a stream that continues after its key was revoked, or that ends without an error event. */
    @Test
    void streamOfARevokedKeyEndsWithAnErrorEvent() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream engine = new FakeUpstream("engine-1")) {
            engine.hold = new CountDownLatch(1);
            harness.process.setUpstreams(List.of(engine.upstream("model-a", "zone-a", "region-1", 2)));
            try (Socket socket = harness.connect()) {
                socket.getOutputStream()
                        .write(request("POST", CHAT_PATH, "", CHAT).getBytes(StandardCharsets.UTF_8));
                readUntil(socket, "t1");
                harness.process.revoke(RevocationSet.EMPTY.with("clerk1"));
                String rest = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertThat(rest).contains("\"code\":\"key_revoked\"");
                assertThat(rest).doesNotContain("[DONE]");
            }
        }
    }

    /** Guards against a slot and an engine that stay in use after the caller disconnected. */
    @Test
    void disconnectedCallerReleasesTheSlotAndCancelsTheCall() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream engine = new FakeUpstream("engine-1")) {
            engine.hold = new CountDownLatch(1);
            harness.process.setUpstreams(List.of(engine.upstream("model-a", "zone-a", "region-1", 2)));
            try (Socket socket = harness.connect()) {
                socket.getOutputStream()
                        .write(request("POST", CHAT_PATH, "", CHAT).getBytes(StandardCharsets.UTF_8));
                readUntil(socket, "t1");
            }
            harness.awaitEvent("req-1", EventCode.REQUEST_ABANDONED);
            assertThat(harness.broker.slotsInUse()).isEqualTo(0);
            engine.hold.countDown();
            assertThat(engine.cancelled.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** Guards against requests that stay in the queue after their callers disconnected. */
    @Test
    void disconnectedCallerLeavesTheQueue() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream engine = new FakeUpstream("engine-1")) {
            engine.hold = new CountDownLatch(1);
            harness.process.setUpstreams(List.of(engine.upstream("model-a", "zone-a", "region-1", 1)));
            try (Socket running = harness.connect()) {
                byte[] chat = request("POST", CHAT_PATH, "", CHAT).getBytes(StandardCharsets.UTF_8);
                running.getOutputStream().write(chat);
                readUntil(running, "t1");
                try (Socket waiting = harness.connect()) {
                    waiting.getOutputStream().write(chat);
                    RouterHarness.await(() -> harness.broker.waitingCount() == 1);
                }
                harness.awaitEvent("req-2", EventCode.REQUEST_ABANDONED);
                assertThat(harness.broker.waitingCount()).isEqualTo(0);
                assertThat(engine.received).hasSize(1);
            }
        }
    }

    /** Guards against a drain that interrupts an in-flight stream, and against readiness during the drain. */
    @Test
    void drainLetsARunningStreamFinish() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream engine = new FakeUpstream("engine-1")) {
            engine.hold = new CountDownLatch(1);
            harness.process.setUpstreams(List.of(engine.upstream("model-a", "zone-a", "region-1", 2)));
            try (Socket socket = harness.connect()) {
                socket.getOutputStream()
                        .write(request("POST", CHAT_PATH, "", CHAT).getBytes(StandardCharsets.UTF_8));
                readUntil(socket, "t1");
                Thread stopping = new Thread(harness.router::stop);
                stopping.start();
                RouterHarness.await(() -> !accepts(harness));
                assertThat(harness.isReady()).isFalse();
                engine.hold.countDown();
                String rest = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertThat(rest).contains("[DONE]");
                stopping.join();
            }
            assertThat(harness.eventsOf("")).doesNotContain("DRAIN_INTERRUPTED");
        }
    }

    private static boolean accepts(RouterHarness harness) {
        try (Socket socket = harness.connect()) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private static void readUntil(Socket socket, String text) throws IOException {
        StringBuilder received = new StringBuilder();
        while (received.indexOf(text) < 0) {
            int value = socket.getInputStream().read();
            if (value < 0) {
                throw new IOException("closed after: " + received);
            }
            received.append((char) value);
        }
    }
}
