package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;

/** What the processes recorded about the sessions before. */
final class RecordChecks {
    private final FleetSession session;

    RecordChecks(FleetSession session) {
        this.session = session;
    }

    void run(CheckRun run) throws InterruptedException {
        run.check("time-line", this::timeLine);
        run.check("no-key-at-upstreams", () -> {
            findNoKey("engine", "http", "/requests");
            findNoKey("service", "http", "/requests");
        });
        run.check("no-key-in-events", () -> {
            findNoKey("router", "admin", "/admin/events?after=0");
            findNoKey("controller", "admin", "/admin/events?after=0");
        });
    }

    /** The events of a request can be read from any controller, in causal order. */
    private void timeLine() throws IOException, CheckFailedException, InterruptedException {
        Completion completion = new Completion(true, FleetSession.MODEL, session.unique("time-line"), 4);
        String requestId = Expect.success(
                        FleetSession.whole(session.lastRouter(), session.key(FleetSession.LARGE_ACCOUNT), completion))
                .header("x-request-id")
                .orElse("");
        // The last event is recorded after the response was sent.
        Await.until(
                "the request's last event is recorded", FleetSession.IN_FORCE_SECONDS, () -> names(events(requestId))
                        .contains("REQUEST_COMPLETED"));
        JsonNode events = events(requestId);
        List<String> names = names(events);
        List<String> steps = List.of("REQUEST_ACCEPTED", "REQUEST_QUEUED", "REQUEST_DISPATCHED", "REQUEST_COMPLETED");
        Expect.equal("events", steps, names);
        String previous = "";
        for (JsonNode event : events) {
            String stamp = event.path("stamp").asText();
            Expect.that(stamp.compareTo(previous) > 0, "stamp " + stamp + " does not follow " + previous);
            previous = stamp;
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

    private void findNoKey(String role, String purpose, String path) throws IOException, CheckFailedException {
        for (FleetMember process : session.fleet().withRole(role)) {
            String records = Expect.success(HttpExchange.call(process.address(purpose), "GET", path, Map.of(), null))
                    .text();
            Expect.that(records.length() > 2, process.name() + " has recorded nothing");
            for (String key : session.usedKeys()) {
                // The secret is the part after the public identifier.
                String secret = key.substring(key.lastIndexOf('_') + 1);
                Expect.that(!records.contains(secret), process.name() + " recorded the secret of a key");
            }
        }
    }
}
