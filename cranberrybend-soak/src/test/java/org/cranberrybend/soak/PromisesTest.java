package org.cranberrybend.soak;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.Headers;
import java.util.Map;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.platform.standin.StandInHeaders;
import org.cranberrybend.platform.standin.StandInUpstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each case breaks one promise; guards against a soak that would not see it. */
class PromisesTest {
    private static final String ORDER = "ORDER-0-1";
    private static final String CHAT = "CHAT-0-1";

    private final Disturbances disturbances = new Disturbances();
    private long nowMs = 60_000;
    private final Promises promises = new Promises(() -> nowMs, disturbances);
    private final Headers headers = new Headers();
    private StandInUpstream upstream;

    @BeforeEach
    void startUpstream() throws Exception {
        upstream = new StandInUpstream("up-0", "desk", "zone-a", 4, promises::arrived);
        headers.set(StandInHeaders.accountName(), Promises.ACCOUNT);
    }

    @AfterEach
    void stopUpstream() {
        upstream.close();
    }

    private void answer(String id, int status, String signature, String body) {
        promises.answered(
                id,
                new Caller.Answer(status, Map.of(StandInHeaders.signatureName(), signature), body, true),
                "entry-0",
                nowMs);
    }

    private void assertBroken(String promise) {
        assertThat(promises.violations()).hasSize(1);
        assertThat(promises.violations().get(0)).contains(promise);
    }

    private void duty(String path, String holder, long number, String body) throws JsonFormatException {
        promises.dutyCall(path, holder, number, Json.readObject(body.getBytes()));
    }

    @Test
    void secondRunOfAnOrder() {
        promises.arrived(upstream, ORDER, headers, true);
        promises.arrived(upstream, ORDER, headers, true);
        assertBroken("at most once");
    }

    @Test
    void refusalOfAnOrderThatHasRun() {
        promises.arrived(upstream, ORDER, headers, true);
        answer(ORDER, 503, "", "");
        assertBroken("refused requests have not run");
    }

    @Test
    void runOfARefusedOrder() {
        answer(ORDER, 429, "", "");
        promises.arrived(upstream, ORDER, headers, true);
        assertBroken("refused requests never run");
    }

    @Test
    void keyAtAnUpstream() {
        headers.set("Authorization", "Bearer key");
        promises.arrived(upstream, ORDER, headers, true);
        assertBroken("no key is passed on");
    }

    @Test
    void answerToAnotherRequest() {
        answer(ORDER, 200, "up-0.ORDER-0-2", StandInUpstream.plainBody(ORDER));
        assertBroken("each answer belongs to its request");
    }

    @Test
    void streamWithoutItsLastEvent() {
        answer(CHAT, 200, "up-0." + CHAT, StandInUpstream.event(CHAT, 1));
        assertBroken("answers are whole");
    }

    @Test
    void answerCutByAStop() {
        promises.arrived(upstream, ORDER, headers, true);
        promises.lost(ORDER, "entry-0", nowMs);
        assertBroken("planned work loses no answer");
    }

    @Test
    void answerCutByAKillIsNoViolation() {
        disturbances.add("entry-0", nowMs - 100, nowMs);
        promises.arrived(upstream, ORDER, headers, true);
        promises.lost(ORDER, "entry-0", nowMs);
        assertThat(promises.violations()).isEmpty();
    }

    @Test
    void requestForAnUpstreamThatHasLeft() {
        promises.upstreamLeaves("up-0");
        nowMs += SoakBounds.DRAIN_MS + 1;
        promises.arrived(upstream, ORDER, headers, true);
        assertBroken("no request for an upstream that leaves");
    }

    @Test
    void olderFencingNumber() throws Exception {
        duty("/usage", "entry-0", 7, "{\"window_id\":1,\"counts\":{\"alpha\":1}}");
        duty("/usage", "entry-1", 6, "{\"window_id\":2,\"counts\":{\"alpha\":1}}");
        assertBroken("fencing numbers only grow");
    }

    @Test
    void holdersThatAlternate() throws Exception {
        duty("/usage", "entry-0", 7, "{\"window_id\":1,\"counts\":{\"alpha\":1}}");
        duty("/usage", "entry-1", 8, "{\"window_id\":2,\"counts\":{\"alpha\":1}}");
        duty("/usage", "entry-0", 9, "{\"window_id\":3,\"counts\":{\"alpha\":1}}");
        assertBroken("holders do not alternate");
    }

    @Test
    void twoReportsOfAWindow() throws Exception {
        duty("/usage", "entry-0", 7, "{\"window_id\":1,\"counts\":{\"alpha\":1}}");
        duty("/usage", "entry-0", 7, "{\"window_id\":1,\"counts\":{\"alpha\":2}}");
        assertBroken("one set of figures");
    }

    @Test
    void forgottenConfiguration() {
        promises.probed("entry-0#1", 4, true, nowMs);
        nowMs += 1_000;
        promises.probed("entry-0#1", 4, false, nowMs);
        assertBroken("configurations never go back");
    }

    @Test
    void usageBeyondWhatBegan() throws Exception {
        duty("/usage", "entry-0", 7, "{\"window_id\":1,\"counts\":{\"alpha\":50}}");
        promises.checkEnd();
        assertBroken("usage is not more than began");
    }
}
