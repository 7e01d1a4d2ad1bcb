package org.cranberrybend.integration.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.experiment.check.Await;
import org.cranberrybend.experiment.check.CheckFailedException;
import org.cranberrybend.experiment.check.Completion;
import org.cranberrybend.experiment.check.EventStream;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;
import org.cranberrybend.experiment.check.HttpExchange;
import org.cranberrybend.experiment.check.OperatorClient;
import org.cranberrybend.runtime.http.HttpResult;
import org.cranberrybend.standins.engine.GeneratedText;

/** A fleet of daemon and stand-in processes in one availability zone that serves requests of one client account. */
final class Fleet implements AutoCloseable {
    static final String ZONE = "szeged-a";
    static final String ACCOUNT = "arena-szeged";
    static final String MODEL = "stub-writer";
    /** Time limit of a wait for a condition; a fleet without faults stays far below it. */
    static final int WAIT_TIMEOUT_SECONDS = 30;

    /**
     * Request class with the longest latency target. Requests with a short target are refused early, as designed, on a
     * busy machine and while a shard changes its owner.
     */
    static final String LATENCY_TOLERANT_CLASS = "batch";

    private static final String REGION = "alfold";
    private static final String OPERATOR_TOKEN = "operators-of-the-test-fleet";
    private static final int START_ATTEMPTS = 3;
    private static final int PORTS_PER_DAEMON = 3;
    private static final List<String> ROLES = List.of("platform", "engine", "service", "router", "controller");

    private final FleetPlan plan;
    private final FleetProcesses processes;
    private final Map<String, FleetMember> members = new LinkedHashMap<>();
    private String key = "";

    private Fleet(FleetPlan plan, Path directory) throws IOException {
        this.plan = plan;
        this.processes = new FleetProcesses(directory);
    }

    /** Starts a fleet and waits until every router serves requests. */
    static Fleet start(String name, FleetPlan plan) throws Exception {
        for (int attempt = 1; ; attempt++) {
            Fleet fleet = new Fleet(plan, Path.of("target", "fleets", name));
            try {
                fleet.startProcesses();
                fleet.setUp();
                return fleet;
            } catch (Exception e) {
                // Another program may have taken a port since it was found free; the next attempt uses other ports.
                boolean processExited =
                        fleet.members.keySet().stream().anyMatch(each -> !fleet.processes.isRunning(each));
                fleet.close();
                if (!processExited || attempt == START_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    private void startProcesses() throws IOException {
        Deque<Integer> ports =
                FleetProcesses.freePorts(ROLES.stream().mapToInt(plan::count).sum() * PORTS_PER_DAEMON);
        for (String role : ROLES) {
            for (int i = 1; i <= plan.count(role); i++) {
                String name = role + "-" + i;
                members.put(name, new FleetMember(name, role, ZONE, addresses(role, ports)));
            }
        }
        for (FleetMember member : members.values()) {
            Map<String, Object> settings = settings(member);
            settings.putAll(plan.settings().getOrDefault(member.role(), Map.of()));
            processes.start(member, settings);
        }
    }

    private static Map<String, String> addresses(String role, Deque<Integer> ports) {
        List<String> purposes =
                switch (role) {
                    case "router" -> List.of("caller", "admin", "peer");
                    case "controller" -> List.of("operator", "admin", "peer");
                    default -> List.of("http");
                };
        Map<String, String> addresses = new LinkedHashMap<>();
        purposes.forEach(each -> addresses.put(each, FleetProcesses.HOST + ":" + ports.pop()));
        return addresses;
    }

    private static int port(FleetMember member, String purpose) {
        String address = member.address(purpose);
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    private Map<String, Object> settings(FleetMember member) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("host", FleetProcesses.HOST);
        member.addresses()
                .forEach((purpose, address) ->
                        settings.put(purpose.equals("http") ? "port" : purpose + "_port", port(member, purpose)));
        switch (member.role()) {
            case "platform" -> settings.put("instances", instances());
            case "engine" -> settings.putAll(Map.of(
                    "id", member.name(), "slots", 8, "prefill_tokens_per_s", 100_000, "decode_ms_per_token", 10));
            case "service" -> settings.putAll(Map.of("id", member.name(), "service", "counter", "run_ms", 5));
            default -> settings.putAll(daemonSettings(member));
        }
        return settings;
    }

    private Map<String, Object> daemonSettings(FleetMember member) {
        List<String> seeds = new ArrayList<>();
        for (FleetMember each : members.values()) {
            if (each.address("peer") != null && !each.equals(member)) {
                seeds.add(each.address("peer"));
            }
        }
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("instance", member.name());
        settings.put("zone", ZONE);
        settings.put("region", REGION);
        settings.put("peers", seeds);
        settings.put("platform_url", "http://" + member("platform-1").address("http"));
        settings.put("key_hash_secret", "secret-of-the-test-fleet");
        if (member.role().equals("controller")) {
            settings.put("operator_token_digest_hex", CanonicalJson.digestHex(OPERATOR_TOKEN));
        }
        return settings;
    }

    private List<Map<String, Object>> instances() {
        List<Map<String, Object>> instances = new ArrayList<>();
        for (FleetMember each : members.values()) {
            Map<String, Object> entry = new LinkedHashMap<>(
                    Map.of("id", each.name(), "zone", ZONE, "region", REGION, "host", FleetProcesses.HOST));
            switch (each.role()) {
                case "router" -> entry.putAll(Map.of("role", "entry", "port", port(each, "peer")));
                case "engine" -> entry.putAll(Map.of(
                        "role",
                        "upstream",
                        "kind",
                        "engine",
                        "port",
                        port(each, "http"),
                        "models",
                        List.of(MODEL),
                        "capacity_slots",
                        8,
                        "checks_fencing",
                        true));
                case "service" -> entry.putAll(Map.of(
                        "role",
                        "upstream",
                        "kind",
                        "service",
                        "port",
                        port(each, "http"),
                        "service",
                        "counter",
                        "capacity_slots",
                        16));
                default -> {
                    continue;
                }
            }
            instances.add(entry);
        }
        return instances;
    }

    /** Writes the configuration of the local fleet, issues an API key, and waits until every router accepts it. */
    private void setUp() throws Exception {
        for (FleetMember each : members.values()) {
            String purpose = each.address("http") == null ? "admin" : "http";
            await(each.name() + " responds", () -> {
                if (!processes.isRunning(each.name())) {
                    throw new CheckFailedException(each.name() + " has ended");
                }
                return HttpExchange.call(each.address(purpose), "GET", "/healthz", Map.of(), null)
                        .isSuccess();
            });
        }
        Path file = Path.of(System.getProperty("cranberrybend.root"), "config", "local-configuration.json");
        JsonNode changes =
                CanonicalJson.mapper().readTree(Files.readString(file)).path("changes");
        OperatorClient operator = operator(1);
        await("the first configuration is written", () -> {
            Map<String, Object> change = Map.of("seen_revision", 0, "author", "test", "changes", changes);
            return operator.call("POST", "/v1/changes", change).isSuccess();
        });
        key = operator.issueKey(ACCOUNT).path("key").asText();
        for (FleetMember router : withRole("router")) {
            await("the key works at " + router.name(), () -> models(router, key).status() == 200);
            // Requests succeed only once the router knows the upstreams and the owners of their shards.
            await(
                    router.name() + " serves",
                    () -> complete(router, new Completion(true, MODEL, "ready", 1))
                                    .isSuccess()
                            && call(router, "GET", "/stock/ready", Map.of(), null)
                                    .isSuccess());
        }
    }

    static void await(String description, Await.Condition condition) throws CheckFailedException, InterruptedException {
        Await.until(description, WAIT_TIMEOUT_SECONDS, condition);
    }

    FleetMember member(String name) {
        return members.get(name);
    }

    List<FleetMember> withRole(String role) {
        return members.values().stream()
                .filter(each -> each.role().equals(role))
                .toList();
    }

    FleetProcesses processes() {
        return processes;
    }

    String key() {
        return key;
    }

    OperatorClient operator(int number) {
        return new OperatorClient(member("controller-" + number).address("operator"), OPERATOR_TOKEN);
    }

    /** Sends a request with the account's API key, in the latency-tolerant class unless the headers name another. */
    HttpResult call(FleetMember router, String method, String target, Map<String, String> headers, String body)
            throws IOException {
        Map<String, String> all = callerHeaders();
        all.putAll(headers);
        return HttpExchange.call(router.address("caller"), method, target, all, body);
    }

    Map<String, String> callerHeaders() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Authorization", "Bearer " + key);
        headers.put("X-Request-Class", LATENCY_TOLERANT_CLASS);
        return headers;
    }

    static HttpResult models(FleetMember router, String callerKey) throws IOException {
        Map<String, String> headers = Map.of("Authorization", "Bearer " + callerKey);
        return HttpExchange.call(router.address("caller"), "GET", "/v1/models", headers, null);
    }

    HttpResult complete(FleetMember router, Completion completion) throws IOException {
        return call(router, "POST", completion.path(), Map.of(), completion.body(false));
    }

    EventStream stream(FleetMember router, Completion completion) throws IOException {
        return new EventStream(router.address("caller"), completion.path(), callerHeaders(), completion.body(true));
    }

    HttpResult printOrder(FleetMember router, String idempotencyKey, String body) throws IOException {
        return call(router, "POST", "/print-orders", Map.of("Idempotency-Key", idempotencyKey), body);
    }

    /** Returns the complete text that every engine generates for a chat completion. */
    static String expectedText(Completion completion) {
        return new GeneratedText(CanonicalJson.write(completion.messages())).text(0, completion.maxTokens());
    }

    /** Calls a control endpoint of a stand-in; {@code body} may be null. */
    JsonNode control(String name, String method, String path, Object body) throws IOException {
        HttpResult result = HttpExchange.call(
                member(name).address("http"), method, path, Map.of(), body == null ? null : CanonicalJson.write(body));
        if (!result.isSuccess()) {
            throw new IOException(method + " " + path + " of " + name + ": status " + result.status());
        }
        return result.json();
    }

    void fault(String upstream, String mode, long value) throws IOException {
        control(upstream, "POST", "/fault", Map.of("mode", mode, "value", value));
    }

    void platformFault(String target, String mode) throws IOException {
        control("platform-1", "POST", "/fault", Map.of("target", target, "mode", mode));
    }

    /** Returns the requests that an upstream received, in order of arrival. */
    JsonNode requests(String upstream) throws IOException {
        return control(upstream, "GET", "/requests", null);
    }

    /** Returns the events of a daemon. */
    JsonNode events(FleetMember daemon) throws IOException {
        return HttpExchange.call(daemon.address("admin"), "GET", "/admin/events?after=0", Map.of(), null)
                .json();
    }

    JsonNode status(FleetMember daemon) throws IOException {
        return HttpExchange.call(daemon.address("admin"), "GET", "/admin/status", Map.of(), null)
                .json();
    }

    @Override
    public void close() throws InterruptedException {
        processes.close();
    }
}
