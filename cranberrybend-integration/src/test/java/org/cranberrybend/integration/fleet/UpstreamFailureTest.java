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
    private static final int READ_TIMEOUT_MS = 1_000;

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

    // Guards against streams that end, repeat or skip a part when their engine dies.
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

    // Guards against a second run of a print order whose response was lost, and against calling it not run.
    @Test
    void lostReplyOfPrintOrder() throws Exception {
        try (Fleet fleet = Fleet.start("lost-reply", FleetPlan.of(2, 1, 1, 1))) {
            String body = "{\"stub\":\"lost\"}";
            fleet.fault("service-1", "lose_reply", 1);
            HttpResult lost = fleet.printOrder(fleet.member("router-1"), "lost-1", body);
            assertThat(runState(lost)).isEqualTo("outcome_unknown");
            assertThat(lost.status()).isEqualTo(502);
            for (FleetMember router : fleet.withRole("router")) {
                HttpResult again = fleet.printOrder(router, "lost-1", body);
                assertThat(again.status()).isEqualTo(409);
                assertThat(runState(again)).isEqualTo("outcome_unknown");
            }
            assertThat(runs(fleet, body)).isEqualTo(1);
            assertThat(fleet.printOrder(fleet.member("router-2"), "lost-2", "{\"stub\":\"next\"}")
                            .status())
                    .isEqualTo(200);
        }
    }

    private static String runState(HttpResult result) throws IOException {
        return result.json().path("error").path("run_state").asText();
    }

    private static long runs(Fleet fleet, String body) throws IOException {
        long runs = 0;
        for (FleetMember service : fleet.withRole("service")) {
            runs += fleet.control(service.name(), "GET", "/counters", null)
                    .path("runs_by_body_digest")
                    .path(CanonicalJson.digestHex(body))
                    .asLong();
        }
        return runs;
    }

    // Guards against new requests to an upstream that is leaving, as told by itself or by the instance list, and
    // against requests lost because of it.
    @Test
    void leavingUpstreams() throws Exception {
        try (Fleet fleet = Fleet.start("leaving", FleetPlan.of(2, 1, 2, 2))) {
            Completion completion = prompt("running", STREAM_TOKENS / 3);
            List<EventStream> running = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                running.add(fleet.stream(fleet.member("router-1"), completion).readTokens(2));
            }
            for (String each : List.of("engine-1", "service-1")) {
                fleet.fault(each, "leaving", 0);
                // Only its refusal of a request tells that it is leaving.
                Fleet.await("a request is refused by " + each, () -> newRequests(fleet, each) > 0);
            }
            assertThat(newRequests(fleet, "engine-1", "service-1")).isEqualTo(0);

            String[] all = {"engine-1", "engine-2", "service-1", "service-2"};
            for (String each : List.of("engine-2", "service-2")) {
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

    /** Sends a request to an engine and one to a service, and returns how many were refused without being run. */
    private static int refusals(Fleet fleet, FleetMember router) throws IOException {
        int refusals = 0;
        for (HttpResult each : List.of(
                fleet.whole(router, prompt("refused", 1)), fleet.call(router, "GET", "/stock/1", Map.of(), null))) {
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

    /** Sends a batch through each router, expects every answer, and returns how many arrived at the upstreams. */
    private static int newRequests(Fleet fleet, String... upstreams) throws IOException {
        int before = received(fleet, upstreams);
        for (FleetMember router : fleet.withRole("router")) {
            for (int i = 0; i < BATCH; i++) {
                assertAnswered(fleet.whole(router, prompt("batch", 1)));
                assertAnswered(fleet.call(router, "GET", "/stock/1", Map.of(), null));
            }
        }
        return received(fleet, upstreams) - before;
    }

    private static void assertAnswered(HttpResult result) {
        assertWithMessage(result.text()).that(result.status()).isEqualTo(200);
    }

    private static Fleet startWithShortReadDeadline(String name) throws Exception {
        FleetPlan plan = FleetPlan.of(1, 1, 2, 2).with("router", "upstream_read_timeout_ms", READ_TIMEOUT_MS);
        return Fleet.start(name, plan);
    }

    // Guards against streams that wait for ever on a connection that the network path has forgotten.
    @Test
    void engineStalledDuringStream() throws Exception {
        try (Fleet fleet = startWithShortReadDeadline("engine-stalled")) {
            FleetMember router = fleet.member("router-1");
            Completion completion = prompt("stalled", STREAM_TOKENS / 3);
            int requestsBefore = fleet.requests("engine-1").size();
            try (EventStream stream = fleet.stream(router, completion).readTokens(5)) {
                boolean onFirst = fleet.requests("engine-1").size() > requestsBefore;
                String stalled = onFirst ? "engine-1" : "engine-2";
                fleet.fault(stalled, "stall", 0);
                fleet.fault(stalled, "ok", 0);
                assertComplete(stream, completion);
            }
            for (int i = 0; i < BATCH; i++) {
                assertAnswered(fleet.whole(router, prompt("after the stall", 1)));
            }
        }
    }

    // Guards against requests that wait for ever on idle connections that went silent, and against repeating an order.
    @Test
    void servicesStalled() throws Exception {
        try (Fleet fleet = startWithShortReadDeadline("services-stalled")) {
            FleetMember router = fleet.member("router-1");
            for (int i = 0; i < BATCH; i++) {
                assertAnswered(fleet.call(router, "GET", "/stock/idle-connections", Map.of(), null));
            }
            for (FleetMember service : fleet.withRole("service")) {
                fleet.fault(service.name(), "stall", 0);
            }
            String body = "{\"stub\":\"silent\"}";
            HttpResult silent = fleet.printOrder(router, "silent-1", body);
            assertThat(silent.status()).isEqualTo(504);
            assertThat(runState(silent)).isEqualTo("outcome_unknown");
            for (FleetMember service : fleet.withRole("service")) {
                fleet.fault(service.name(), "ok", 0);
            }
            for (int i = 0; i < BATCH; i++) {
                assertAnswered(fleet.call(router, "GET", "/stock/after", Map.of(), null));
            }
            assertThat(fleet.printOrder(router, "silent-1", body).status()).isEqualTo(409);
            assertThat(runs(fleet, body)).isAtMost(1);
            assertAnswered(fleet.printOrder(router, "silent-2", "{\"stub\":\"next\"}"));
        }
    }
}
