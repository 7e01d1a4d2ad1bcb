package org.cranberrybend.integration.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.experiment.check.Completion;
import org.cranberrybend.experiment.check.EventStream;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;
import org.cranberrybend.runtime.http.HttpResult;
import org.junit.jupiter.api.Test;

class UpstreamFailureTest {
    private static final int STREAM_TOKENS = 600;
    private static final int BATCH = 10;

    private static Completion prompt(String text, int tokens) {
        return new Completion(true, Fleet.MODEL, text, tokens);
    }

    private static void assertComplete(EventStream stream, Completion completion) throws IOException {
        assertThat(stream.readAll().errorCode()).isEmpty();
        assertThat(stream.text()).isEqualTo(Fleet.expectedText(completion));
        assertThat(stream.isComplete()).isTrue();
    }

    /** Returns the upstream with the most requests so far. */
    private static String busiest(Fleet fleet, String... upstreams) throws IOException {
        String busiest = upstreams[0];
        for (String each : upstreams) {
            busiest = fleet.requests(each).size() > fleet.requests(busiest).size() ? each : busiest;
        }
        return busiest;
    }

    // A stream whose engine is killed must be resumed on another engine without missing or repeated text.
    @Test
    void engineKilledDuringStreams() throws Exception {
        try (Fleet fleet = Fleet.start("engine-killed", FleetPlan.of(2, 1, 2, 1))) {
            List<EventStream> streams = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                FleetMember router = fleet.member("router-" + (1 + i % 2));
                streams.add(fleet.stream(router, prompt("stream " + i, STREAM_TOKENS))
                        .readTokens(5));
            }
            String victim = busiest(fleet, "engine-1", "engine-2");
            String survivor = victim.equals("engine-1") ? "engine-2" : "engine-1";
            fleet.processes().kill(victim);
            for (int i = 0; i < streams.size(); i++) {
                try (EventStream stream = streams.get(i)) {
                    assertComplete(stream, prompt("stream " + i, STREAM_TOKENS));
                }
            }
            int resumed = 0;
            for (JsonNode each : fleet.requests(survivor)) {
                JsonNode body =
                        CanonicalJson.mapper().readTree(each.path("body").asText());
                resumed += body.path("resume_from").asInt() > 0 ? 1 : 0;
            }
            assertThat(resumed).isAtLeast(1);
        }
    }

    private static String runState(HttpResult result) throws IOException {
        return result.json().path("error").path("run_state").asText();
    }

    // An upstream that is leaving, as stated by its own rejection or by the instance list, must get no new requests,
    // and no request may be lost because of it.
    @Test
    void leavingUpstreams() throws Exception {
        try (Fleet fleet = Fleet.start("leaving", FleetPlan.of(2, 1, 2, 2))) {
            Completion completion = prompt("running", STREAM_TOKENS / 3);
            List<EventStream> running = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                running.add(fleet.stream(fleet.member("router-1"), completion).readTokens(2));
            }
            String engine = preferred(fleet, "engine-1", "engine-2");
            String service = preferred(fleet, "service-1", "service-2");
            for (String each : List.of(engine, service)) {
                fleet.fault(each, "leaving", 0);
                // Routers learn that it is leaving only when it rejects a request.
                Fleet.await("a request is rejected by " + each, () -> sendBatches(fleet, each) > 0);
            }
            assertThat(sendBatches(fleet, engine, service)).isEqualTo(0);

            String[] all = {"engine-1", "engine-2", "service-1", "service-2"};
            for (String each : all) {
                fleet.control("platform-1", "POST", "/instances/" + each, Map.of("state", "leaving"));
            }
            for (FleetMember router : fleet.withRole("router")) {
                Fleet.await("no upstream is left for " + router.name(), () -> refusals(fleet, router) == 2);
            }
            int before = received(fleet, all);
            for (FleetMember router : fleet.withRole("router")) {
                assertThat(refusals(fleet, router)).isEqualTo(2);
            }
            assertThat(received(fleet, all)).isEqualTo(before);
            for (EventStream each : running) {
                try (each) {
                    assertComplete(each, completion);
                }
            }
        }
    }

    /** Returns the upstream that gets more requests of a batch; the other one may get none. */
    private static String preferred(Fleet fleet, String first, String second) throws IOException {
        int before = received(fleet, first) - received(fleet, second);
        sendBatches(fleet, first, second);
        return received(fleet, first) - received(fleet, second) > before ? first : second;
    }

    /** Sends a request to an engine and one to a service, and returns how many were refused without being executed. */
    private static int refusals(Fleet fleet, FleetMember router) throws IOException {
        int refusals = 0;
        for (HttpResult each : List.of(
                fleet.complete(router, prompt("refused", 1)), fleet.call(router, "GET", "/stock/1", Map.of(), null))) {
            boolean notRun = runState(each).equals("not_run");
            assertWithMessage(each.text()).that(each.isSuccess() || notRun).isTrue();
            refusals += notRun ? 1 : 0;
        }
        return refusals;
    }

    private static int received(Fleet fleet, String... upstreams) throws IOException {
        int sum = 0;
        for (String each : upstreams) {
            sum += fleet.requests(each).size();
        }
        return sum;
    }

    /**
     * Sends a batch through each router, asserts that all succeed, and returns how many reached the given upstreams.
     */
    private static int sendBatches(Fleet fleet, String... upstreams) throws IOException {
        int before = received(fleet, upstreams);
        for (FleetMember router : fleet.withRole("router")) {
            for (int i = 0; i < BATCH; i++) {
                assertSucceeded(fleet.complete(router, prompt("batch", 1)));
                assertSucceeded(fleet.call(router, "GET", "/stock/1", Map.of(), null));
            }
        }
        return received(fleet, upstreams) - before;
    }

    private static void assertSucceeded(HttpResult result) {
        assertWithMessage(result.text()).that(result.status()).isEqualTo(200);
    }
}
