package org.cranberrybend.integration.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.experiment.check.Completion;
import org.cranberrybend.experiment.check.EventStream;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;
import org.cranberrybend.runtime.http.HttpResult;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests unresponsive upstreams that recover without a restart. The tests share a fleet. */
class SilentUpstreamTest {
    private static final int STREAM_TOKENS = 200;
    private static final int BATCH = 10;
    private static final int READ_TIMEOUT_MS = 2_000;

    private static Fleet fleet;

    @BeforeAll
    static void start() throws Exception {
        FleetPlan plan = FleetPlan.of(2, 1, 2, 2).with("router", "upstream_read_timeout_ms", READ_TIMEOUT_MS);
        fleet = Fleet.start("silent-upstream", plan);
    }

    @AfterAll
    static void end() throws InterruptedException {
        fleet.close();
    }

    @AfterEach
    void endFaults() throws IOException {
        setFaults("service", "ok", 0);
        setFaults("engine", "ok", 0);
    }

    private static void setFaults(String role, String mode, long value) throws IOException {
        for (FleetMember each : fleet.withRole(role)) {
            fleet.fault(each.name(), mode, value);
        }
    }

    private static Completion prompt(String text, int tokens) {
        return new Completion(true, Fleet.MODEL, text, tokens);
    }

    private static void assertSucceeded(HttpResult result) {
        assertWithMessage(result.text()).that(result.status()).isEqualTo(200);
    }

    private static String runState(HttpResult result) throws IOException {
        return result.json().path("error").path("run_state").asText();
    }

    private static long runs(String body) throws IOException {
        long runs = 0;
        for (FleetMember service : fleet.withRole("service")) {
            runs += fleet.control(service.name(), "GET", "/counters", null)
                    .path("runs_by_body_digest")
                    .path(CanonicalJson.digestHex(body))
                    .asLong();
        }
        return runs;
    }

    // A print order whose response was lost must not be executed again, and must not be reported as not executed.
    @Test
    void lostReplyOfPrintOrder() throws Exception {
        String body = "{\"stub\":\"lost\"}";
        setFaults("service", "lose_reply", 1);
        HttpResult lost = fleet.printOrder(fleet.member("router-1"), "lost-1", body);
        assertThat(runState(lost)).isEqualTo("outcome_unknown");
        assertThat(lost.status()).isEqualTo(502);
        setFaults("service", "ok", 0);
        for (FleetMember router : fleet.withRole("router")) {
            HttpResult again = fleet.printOrder(router, "lost-1", body);
            assertThat(again.status()).isEqualTo(409);
            assertThat(runState(again)).isEqualTo("outcome_unknown");
        }
        assertThat(runs(body)).isEqualTo(1);
        assertSucceeded(fleet.printOrder(fleet.member("router-2"), "lost-2", "{\"stub\":\"next\"}"));
    }

    // A connection can stop delivering data without being closed, for instance when a NAT entry expires. A stream on
    // such a connection must be resumed and not wait forever.
    @Test
    void engineStalledDuringStream() throws Exception {
        FleetMember router = fleet.member("router-1");
        Completion completion = prompt("stalled", STREAM_TOKENS);
        int requestsBefore = fleet.requests("engine-1").size();
        try (EventStream stream = fleet.stream(router, completion).readTokens(5)) {
            boolean onFirst = fleet.requests("engine-1").size() > requestsBefore;
            String stalled = onFirst ? "engine-1" : "engine-2";
            fleet.fault(stalled, "stall", 0);
            fleet.fault(stalled, "ok", 0);
            assertThat(stream.readAll().errorCode()).isEmpty();
            assertThat(stream.text()).isEqualTo(Fleet.expectedText(completion));
            assertThat(stream.isComplete()).isTrue();
        }
        for (int i = 0; i < BATCH; i++) {
            assertSucceeded(fleet.complete(router, prompt("after the stall", 1)));
        }
    }

    // Requests on idle connections that have become unresponsive must time out, and print orders must not be retried.
    @Test
    void servicesStalled() throws Exception {
        FleetMember router = fleet.member("router-1");
        for (int i = 0; i < BATCH; i++) {
            assertSucceeded(fleet.call(router, "GET", "/stock/idle-connections", Map.of(), null));
        }
        setFaults("service", "stall", 0);
        String body = "{\"stub\":\"silent\"}";
        HttpResult silent = fleet.printOrder(router, "silent-1", body);
        assertThat(silent.status()).isEqualTo(504);
        assertThat(runState(silent)).isEqualTo("outcome_unknown");
        setFaults("service", "ok", 0);
        for (int i = 0; i < BATCH; i++) {
            assertSucceeded(fleet.call(router, "GET", "/stock/after", Map.of(), null));
        }
        assertThat(fleet.printOrder(router, "silent-1", body).status()).isEqualTo(409);
        assertThat(runs(body)).isAtMost(1);
        assertSucceeded(fleet.printOrder(router, "silent-2", "{\"stub\":\"next\"}"));
    }
}
