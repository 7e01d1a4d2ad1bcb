package org.cranberrybend.router;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.router.RouterHarness.CHAT;
import static org.cranberrybend.router.RouterHarness.request;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Streamed completions pass through whole, or end with an error event. */
class StreamingTest {
    private static final String CHAT_PATH = "/v1/chat/completions";

    /** Guards against a change in anything that a caller sees of a stream: headers, framing, events and their order. */
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
}
