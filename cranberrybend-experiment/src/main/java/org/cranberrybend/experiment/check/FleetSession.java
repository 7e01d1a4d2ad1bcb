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

/** State shared by the checks of one run: the fleet, and every API key that a check has used. */
final class FleetSession {
    static final String LARGE_ACCOUNT = "arena-szeged";
    static final String USAGE_ACCOUNT = "theatre-gyor";
    static final String SMALL_ACCOUNT = "ticket-archive";
    static final String MODEL = "stub-writer";
    /**
     * Class with the longest latency target. On a busy machine the router correctly refuses requests of classes with
     * short targets, and the checks would fail.
     */
    private static final String LATENCY_TOLERANT_CLASS = "batch";
    /** Time limit for a change to reach all routers, and for events to become readable. */
    static final int PROPAGATION_TIMEOUT_SECONDS = 10;

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

    /** Returns a string that no other run uses. */
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

    /** Returns a client of the first controller's operator API. */
    OperatorClient operator() {
        return new OperatorClient(fleet.withRole("controller").get(0).address("operator"), fleet.operatorToken());
    }

    /** Returns a client of the last controller's operator API; this controller is in another zone than the first. */
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

    /**
     * Returns request headers with an API key and the latency-tolerant class.
     *
     * @param more further headers as alternating names and values
     */
    static Map<String, String> headers(String key, String... more) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Authorization", "Bearer " + key);
        headers.put("X-Request-Class", LATENCY_TOLERANT_CLASS);
        for (int i = 0; i + 1 < more.length; i += 2) {
            headers.put(more[i], more[i + 1]);
        }
        return headers;
    }

    static HttpResult call(FleetMember router, String method, String target, Map<String, String> headers, String body)
            throws IOException {
        return HttpExchange.call(router.address("caller"), method, target, headers, body);
    }

    static HttpResult listModels(FleetMember router, String key) throws IOException {
        return call(router, "GET", "/v1/models", headers(key), null);
    }

    static HttpResult complete(FleetMember router, String key, Completion completion, String... more)
            throws IOException {
        return call(router, "POST", completion.path(), headers(key, more), completion.body(false));
    }

    static EventStream stream(FleetMember router, String key, Completion completion) throws IOException {
        return new EventStream(router.address("caller"), completion.path(), headers(key), completion.body(true));
    }
}
