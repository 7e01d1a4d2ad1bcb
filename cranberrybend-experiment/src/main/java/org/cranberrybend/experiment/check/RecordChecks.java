package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;

/**
 * Checks of what the processes recorded about requests. They run last, so that the requests of all other checks are
 * covered.
 */
final class RecordChecks {
    private final FleetSession session;

    RecordChecks(FleetSession session) {
        this.session = session;
    }

    void run(CheckRun run) throws InterruptedException {
        run.check("time-line", this::timeline);
        run.check("no-key-at-upstreams", () -> {
            expectNoKey("engine", "http", "/requests");
            expectNoKey("service", "http", "/requests");
        });
        run.check("no-key-in-events", () -> {
            expectNoKey("router", "admin", "/admin/events?after=0");
            expectNoKey("controller", "admin", "/admin/events?after=0");
        });
    }

    /** Expects that a controller returns the events of a request in causal order. */
    private void timeline() throws IOException, CheckFailedException, InterruptedException {
        Completion completion = new Completion(true, FleetSession.MODEL, session.unique("time-line"), 4);
        String requestId = Expect.success(FleetSession.complete(
                        session.lastRouter(), session.key(FleetSession.LARGE_ACCOUNT), completion))
                .header("x-request-id")
                .orElse("");
        // The router records the last event after it has sent the response.
        Await.until("the last event of the request is recorded", FleetSession.PROPAGATION_TIMEOUT_SECONDS, () -> names(
                        events(requestId))
                .contains("REQUEST_COMPLETED"));
        JsonNode events = events(requestId);
        List<String> names = names(events);
        List<String> expected =
                List.of("REQUEST_ACCEPTED", "REQUEST_QUEUED", "REQUEST_DISPATCHED", "REQUEST_COMPLETED");
        Expect.equal("events", expected, names);
        String previous = "";
        for (JsonNode event : events) {
            String timestamp = event.path("stamp").asText();
            Expect.that(timestamp.compareTo(previous) > 0, "timestamp " + timestamp + " is not after " + previous);
            previous = timestamp;
        }
    }

    private JsonNode events(String requestId) throws IOException {
        return session.operator().read("/v1/explain/" + requestId).path("events");
    }

    private static List<String> names(JsonNode events) {
        List<String> names = new ArrayList<>();
        events.forEach(each -> names.add(each.path("name").asText()));
        return names;
    }

    private void expectNoKey(String role, String purpose, String path) throws IOException, CheckFailedException {
        for (FleetMember process : session.fleet().withRole(role)) {
            String records = Expect.success(HttpExchange.call(process.address(purpose), "GET", path, Map.of(), null))
                    .text();
            Expect.that(records.length() > 2, process.name() + " has no records");
            for (String key : session.usedKeys()) {
                // A key is a public identifier followed by "_" and the secret; the identifier may be recorded.
                String secret = key.substring(key.lastIndexOf('_') + 1);
                Expect.that(!records.contains(secret), process.name() + " recorded the secret of a key");
            }
        }
    }
}
