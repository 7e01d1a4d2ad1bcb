package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;
import org.cranberrybend.runtime.http.HttpResult;

/** What the checks of one run share: the fleet, its callers, and every key that was used. */
final class FleetSession {
    static final String LARGE_ACCOUNT = "arena-szeged";
    static final String USAGE_ACCOUNT = "theatre-gyor";
    static final String SMALL_ACCOUNT = "ticket-archive";
    static final String MODEL = "stub-writer";
    /** Class with the longest latency target; one with a short target is rightly refused early on a busy machine. */
    private static final String PATIENT_CLASS = "batch";
    /** Bound of the time until a change is in force at all routers. */
    static final int IN_FORCE_SECONDS = 10;

    private final FleetFile fleet;
    private final String runId = UUID.randomUUID().toString();
    private final Set<String> usedKeys = new LinkedHashSet<>();

    FleetSession(FleetFile fleet) {
        this.fleet = fleet;
        usedKeys.addAll(fleet.callerKeys().values());
    }

    FleetFile fleet() {
        return fleet;
    }

    /** Returns a text that no other run has used. */
    String unique(String name) {
        return name + "-" + runId;
    }

    List<FleetMember> routers() {
        return fleet.withRole("router");
    }

    /** Returns a router other than the first. */
    FleetMember lastRouter() {
        return routers().get(routers().size() - 1);
    }

    FleetMember firstRouter() {
        return routers().get(0);
    }

    /** Returns the operators' interface of the first controller. */
    OperatorClient operator() {
        return new OperatorClient(fleet.withRole("controller").get(0).address("operator"), fleet.operatorToken());
    }

    /** Returns the operators' interface of the last controller, which is in another zone than the first. */
    OperatorClient otherOperator() {
        List<FleetMember> controllers = fleet.withRole("controller");
        return new OperatorClient(controllers.get(controllers.size() - 1).address("operator"), fleet.operatorToken());
    }

    String key(String account) {
        return fleet.callerKeys().get(account);
    }

    Set<String> usedKeys() {
        return usedKeys;
    }

    JsonNode issueKey(String account) throws IOException {
        JsonNode issued = operator().issueKey(account);
        usedKeys.add(issued.path("key").asText());
        return issued;
    }

    /** Returns a caller's headers in the patient class, and further ones as names and values in turn. */
    static Map<String, String> headers(String key, String... more) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Authorization", "Bearer " + key);
        headers.put("X-Request-Class", PATIENT_CLASS);
        for (int i = 0; i + 1 < more.length; i += 2) {
            headers.put(more[i], more[i + 1]);
        }
        return headers;
    }

    static HttpResult call(FleetMember router, String method, String target, Map<String, String> headers, String body)
            throws IOException {
        return HttpExchange.call(router.address("caller"), method, target, headers, body);
    }

    static HttpResult models(FleetMember router, String key) throws IOException {
        return call(router, "GET", "/v1/models", headers(key), null);
    }

    static HttpResult whole(FleetMember router, String key, Completion completion, String... more) throws IOException {
        return call(router, "POST", completion.path(), headers(key, more), completion.body(false));
    }

    static EventStream stream(FleetMember router, String key, Completion completion) throws IOException {
        return new EventStream(router.address("caller"), completion.path(), headers(key), completion.body(true));
    }
}
