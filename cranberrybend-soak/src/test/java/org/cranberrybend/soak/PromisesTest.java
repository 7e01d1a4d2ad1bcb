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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each case breaks one promise. Guards against checks that miss a violation. */
class PromisesTest {
    private static final String ORDER_ID = "ORDER-0-1";
    private static final String CHAT_ID = "CHAT-0-1";

    private final Disruptions disruptions = new Disruptions();
    private long nowMs = 60_000;
    private final Promises promises = new Promises(() -> nowMs, disruptions);
    private final Headers headers = new Headers();
    private StandInUpstream upstream;

    @BeforeEach
    void startUpstream() throws Exception {
        upstream = new StandInUpstream("up-0", "desk", "zone-a", 4, promises::recordUpstreamRequest);
        headers.set(StandInHeaders.accountName(), Promises.ACCOUNT);
    }

    @AfterEach
    void stopUpstream() {
        upstream.close();
    }

    private void recordResponse(String id, int status, String signature, String body) {
        promises.recordResponse(
                id,
                new Caller.Response(status, Map.of(StandInHeaders.signatureName(), signature), body, true),
                "entry-0",
                nowMs);
    }

    private void assertViolated(String promise) {
        assertThat(promises.violations()).hasSize(1);
        assertThat(promises.violations().get(0)).contains(promise);
    }

    private void recordDutyCall(String path, String holder, long number, String body) throws JsonFormatException {
        promises.recordDutyCall(path, holder, number, Json.readObject(body.getBytes()));
    }

    @Test
    void orderExecutedTwice() {
        promises.recordUpstreamRequest(upstream, ORDER_ID, headers, true);
        promises.recordUpstreamRequest(upstream, ORDER_ID, headers, true);
        assertViolated("at most once");
    }

    // The process knows the limit of one request a second from the first response on: 11 requests are allowed in 4 s.
    @ParameterizedTest
    @CsvSource({"11, false, false", "12, false, true", "12, true, false"})
    void moreRequestsThanTheLimit(int requests, boolean disrupted, boolean violated) {
        promises.recordRateLimit("up-0", 1);
        promises.recordSent("CHAT-0-0", "entry-0", nowMs);
        promises.recordUpstreamRequest(upstream, "CHAT-0-0", headers, true);
        recordResponse("CHAT-0-0", 200, "up-0.CHAT-0-0", Promises.expectedStream("CHAT-0-0"));
        nowMs += 10_000;
        if (disrupted) {
            disruptions.add("entry-0", nowMs - 500, nowMs);
        }
        for (int i = 1; i <= requests; i++) {
            nowMs += 300;
            promises.recordSent("CHAT-0-" + i, "entry-0", nowMs);
            promises.recordUpstreamRequest(upstream, "CHAT-0-" + i, headers, true);
        }
        assertThat(promises.violations()).hasSize(violated ? 1 : 0);
    }

    @Test
    void orderRefusedAfterExecution() {
        promises.recordUpstreamRequest(upstream, ORDER_ID, headers, true);
        recordResponse(ORDER_ID, 503, "", "");
        assertViolated("refused requests have not run");
    }

    @Test
    void orderExecutedAfterRefusal() {
        recordResponse(ORDER_ID, 429, "", "");
        promises.recordUpstreamRequest(upstream, ORDER_ID, headers, true);
        assertViolated("refused requests never run");
    }

    @Test
    void apiKeyPassedToUpstream() {
        headers.set("Authorization", "Bearer key");
        promises.recordUpstreamRequest(upstream, ORDER_ID, headers, true);
        assertViolated("no key is passed on");
    }

    @Test
    void responseOfAnotherRequest() {
        recordResponse(ORDER_ID, 200, "up-0.ORDER-0-2", StandInUpstream.plainBody(ORDER_ID));
        assertViolated("each answer belongs to its request");
    }

    @Test
    void streamWithoutLastEvent() {
        recordResponse(CHAT_ID, 200, "up-0." + CHAT_ID, StandInUpstream.event(CHAT_ID, 1));
        assertViolated("answers are whole");
    }

    @Test
    void responseLostWithoutDisruption() {
        promises.recordUpstreamRequest(upstream, ORDER_ID, headers, true);
        promises.recordLostResponse(ORDER_ID, "entry-0", nowMs);
        assertViolated("planned work loses no answer");
    }

    @Test
    void responseLostInDisruptionIsNoViolation() {
        disruptions.add("entry-0", nowMs - 100, nowMs);
        promises.recordUpstreamRequest(upstream, ORDER_ID, headers, true);
        promises.recordLostResponse(ORDER_ID, "entry-0", nowMs);
        assertThat(promises.violations()).isEmpty();
    }

    @Test
    void requestToLeavingUpstreamAfterDrain() {
        promises.recordUpstreamLeaving("up-0");
        nowMs += SoakBounds.DRAIN_MS + 1;
        promises.recordUpstreamRequest(upstream, ORDER_ID, headers, true);
        assertViolated("no request for an upstream that leaves");
    }

    @ParameterizedTest
    @CsvSource({
        // zone, time since the start, time since a disruption of the instance, whether the promise is broken
        "zone-a, 5001, 99999, true",
        "zone-a, 5000, 99999, false",
        "zone-b, 5001, 99999, false",
        "zone-a, 9000, 4900, false",
        "zone-a, 9000, 5001, true"
    })
    void requestToAnEvacuatedZone(String zone, long sinceStartMs, long sinceDisruptionMs, boolean broken) {
        promises.recordEvacuation(zone);
        nowMs += sinceStartMs;
        disruptions.add("entry-0", 0, nowMs - sinceDisruptionMs);
        promises.recordSent(ORDER_ID, "entry-0", nowMs);
        promises.recordUpstreamRequest(upstream, ORDER_ID, headers, false);
        assertThat(promises.violations()).hasSize(broken ? 1 : 0);
        promises.recordEvacuationEnd(zone);
        promises.recordUpstreamRequest(upstream, ORDER_ID, headers, false);
        assertThat(promises.violations()).hasSize(broken ? 1 : 0);
    }

    private void passStatementOn() {
        promises.recordLeavingStated("up-0");
        nowMs += 200;
        promises.recordSent(ORDER_ID, "entry-0", nowMs);
        promises.recordUpstreamRequest(upstream, ORDER_ID, headers, true);
        recordResponse(ORDER_ID, 200, "up-0." + ORDER_ID, StandInUpstream.plainBody(ORDER_ID));
        nowMs += 1;
    }

    @Test
    void requestAfterStatementOfLeaving() {
        passStatementOn();
        promises.recordSent(CHAT_ID, "entry-0", nowMs);
        promises.recordUpstreamRequest(upstream, CHAT_ID, headers, false);
        assertViolated("no request after the statement of leaving");
    }

    @Test
    void requestOfRestartedInstanceAfterStatementIsNoViolation() {
        passStatementOn();
        promises.recordRestart("entry-0");
        promises.recordSent(CHAT_ID, "entry-0", nowMs);
        promises.recordUpstreamRequest(upstream, CHAT_ID, headers, true);
        assertThat(promises.violations()).isEmpty();
    }

    @Test
    void requestOfAnotherInstanceAfterStatementIsNoViolation() {
        passStatementOn();
        promises.recordSent(CHAT_ID, "entry-1", nowMs);
        promises.recordUpstreamRequest(upstream, CHAT_ID, headers, true);
        assertThat(promises.violations()).isEmpty();
    }

    private void arrive(String id) {
        promises.recordSent(id, "entry-0", nowMs);
        promises.recordUpstreamRequest(upstream, id, headers, false);
    }

    @Test
    void thirdRequestInTheTimeThatAnUpstreamAsksFor() {
        upstream.setMode(StandInUpstream.Mode.ASKING_FOR_TIME);
        arrive(CHAT_ID);
        upstream.setMode(StandInUpstream.Mode.SERVING);
        nowMs += 600;
        arrive(CHAT_ID + "1");
        arrive(CHAT_ID + "2");
        assertThat(promises.violations()).isEmpty();
        arrive(CHAT_ID + "3");
        assertViolated("no requests in the time that an upstream asks for");
    }

    @Test
    void requestsAtTheEdgesOfTheTimeThatAnUpstreamAsksFor() {
        upstream.setMode(StandInUpstream.Mode.ASKING_FOR_TIME);
        arrive(CHAT_ID);
        upstream.setMode(StandInUpstream.Mode.SERVING);
        for (int i = 0; i < 5; i++) {
            nowMs += 90;
            arrive(CHAT_ID + i);
        }
        nowMs += StandInUpstream.PAUSE_MS;
        for (int i = 5; i < 10; i++) {
            arrive(CHAT_ID + i);
        }
        assertThat(promises.violations()).isEmpty();
    }

    @Test
    void olderFencingNumber() throws Exception {
        recordDutyCall("/usage", "entry-0", 7, "{\"window_id\":1,\"counts\":{\"alpha\":1}}");
        recordDutyCall("/usage", "entry-1", 6, "{\"window_id\":2,\"counts\":{\"alpha\":1}}");
        assertViolated("fencing numbers only grow");
    }

    @Test
    void alternatingLeaseHolders() throws Exception {
        recordDutyCall("/usage", "entry-0", 7, "{\"window_id\":1,\"counts\":{\"alpha\":1}}");
        recordDutyCall("/usage", "entry-1", 8, "{\"window_id\":2,\"counts\":{\"alpha\":1}}");
        recordDutyCall("/usage", "entry-0", 9, "{\"window_id\":3,\"counts\":{\"alpha\":1}}");
        assertViolated("holders do not alternate");
    }

    @Test
    void differentReportsOfOneWindow() throws Exception {
        recordDutyCall("/usage", "entry-0", 7, "{\"window_id\":1,\"counts\":{\"alpha\":1}}");
        recordDutyCall("/usage", "entry-0", 7, "{\"window_id\":1,\"counts\":{\"alpha\":2}}");
        assertViolated("one set of figures");
    }

    @Test
    void configurationRolledBack() {
        promises.recordProbe("entry-0#1", 4, true, nowMs);
        nowMs += 1_000;
        promises.recordProbe("entry-0#1", 4, false, nowMs);
        assertViolated("configurations never go back");
    }

    @Test
    void moreUsageReportedThanExecuted() throws Exception {
        recordDutyCall("/usage", "entry-0", 7, "{\"window_id\":1,\"counts\":{\"alpha\":50}}");
        promises.checkReportedUsage();
        assertViolated("usage is not more than began");
    }
}
