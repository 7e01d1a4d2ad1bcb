package org.cranberrybend.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.http.BlockingHttpClient;
import org.cranberrybend.runtime.http.HttpResult;

/** Sets up a started fleet: waits for the processes, writes the first configuration and issues a key per account. */
final class FleetSetUp implements AutoCloseable {
    private static final long RETRY_INTERVAL_MS = 100;
    private static final String AUTHOR = "cranberrybend-local";

    private final List<FleetProcess> processes;
    private final String operatorToken;
    private final long deadlineNs;
    private final BlockingHttpClient caller = new BlockingHttpClient(1_000, 10_000);

    FleetSetUp(List<FleetProcess> processes, String operatorToken, long timeoutSeconds) {
        this.processes = processes;
        this.operatorToken = operatorToken;
        this.deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
    }

    /** Waits until every process of the given roles responds with 200 to a path of its admin port. */
    void awaitAll(List<String> roles, String path) throws FleetException, InterruptedException {
        for (FleetProcess process : processes) {
            if (roles.contains(process.role())) {
                awaitSuccess(process, path);
            }
        }
    }

    private void awaitSuccess(FleetProcess process, String path) throws FleetException, InterruptedException {
        URI uri = URI.create("http://" + process.adminAddress() + path);
        String last = "no response";
        while (System.nanoTime() < deadlineNs) {
            try {
                HttpResult result = caller.get(uri);
                if (result.status() == 200) {
                    return;
                }
                last = "status " + result.status();
            } catch (IOException e) {
                last = e.getMessage();
            }
            if (ProcessHandle.of(process.pid()).isEmpty()) {
                throw new FleetException(process.name() + " has ended; see logs/" + process.name() + ".log");
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
        }
        throw new FleetException(process.name() + " did not become ready: " + path + ": " + last);
    }

    /**
     * Writes the configuration through the first controller and issues an API key for each client account.
     *
     * @return API keys by client account
     */
    Map<String, String> configure(JsonNode configuration) throws FleetException, InterruptedException {
        ObjectNode change = CanonicalJson.mapper().createObjectNode();
        HttpResult present = operatorCall("GET", "/v1/configuration", null);
        change.put("seen_revision", json(present).path("revision").asLong());
        change.put("author", AUTHOR);
        change.set("changes", configuration.path("changes"));
        operatorCall("POST", "/v1/changes", change);
        Map<String, String> keys = new LinkedHashMap<>();
        for (JsonNode each : configuration.path("changes")) {
            if (each.path("kind").asText().equals("account")) {
                String account = each.path("name").asText();
                HttpResult issued = operatorCall("POST", "/v1/accounts/" + account + "/keys", null);
                keys.put(account, json(issued).path("key").asText());
            }
        }
        return keys;
    }

    private static JsonNode json(HttpResult result) throws FleetException {
        try {
            return result.json();
        } catch (IOException e) {
            throw new FleetException("a controller's response cannot be read", e);
        }
    }

    /** Calls the first controller and retries while it responds with 503, which it does until it is available. */
    private HttpResult operatorCall(String method, String path, JsonNode body)
            throws FleetException, InterruptedException {
        String address = processes.stream()
                .filter(each -> each.role().equals("controller"))
                .findFirst()
                .orElseThrow(() -> new FleetException("the fleet has no controller"))
                .addresses()
                .get("operator");
        byte[] bytes = body == null ? null : CanonicalJson.write(body).getBytes(StandardCharsets.UTF_8);
        Map<String, String> headers = Map.of("Authorization", "Bearer " + operatorToken);
        while (true) {
            HttpResult result;
            try {
                result = caller.call(method, URI.create("http://" + address + path), headers, bytes);
            } catch (IOException e) {
                throw new FleetException(method + " " + path + " of the controller failed", e);
            }
            if (result.isSuccess()) {
                return result;
            }
            if (result.status() != 503 || System.nanoTime() > deadlineNs) {
                throw new FleetException(
                        method + " " + path + " returned status " + result.status() + ": " + result.text());
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
        }
    }

    /** Returns the content of fleet.json. */
    JsonNode describe(Map<String, String> callerKeys) {
        List<String> seeds = new ArrayList<>();
        processes.forEach(each -> {
            if (each.addresses().containsKey("peer")) {
                seeds.add(each.addresses().get("peer"));
            }
        });
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("operator_token", operatorToken);
        fields.put("caller_keys", callerKeys);
        fields.put("seeds", seeds);
        fields.put("processes", processes);
        return CanonicalJson.mapper().valueToTree(fields);
    }

    /** Returns the content of profile.json, the connection profile of cranberrybendctl for the fleet. */
    JsonNode profile() {
        List<String> controllers = processes.stream()
                .filter(each -> each.addresses().containsKey("operator"))
                .map(each -> "http://" + each.addresses().get("operator"))
                .toList();
        return CanonicalJson.mapper().valueToTree(Map.of("controllers", controllers, "operator_token", operatorToken));
    }

    @Override
    public void close() {
        caller.close();
    }
}
