import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The operator's configuration. */
final class Configuration {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String TENANT = "hule930";

    final List<Object> routes = new ArrayList<>();
    final List<Object> services = new ArrayList<>();
    /** API keys by tenant. */
    final Map<String, List<String>> tenants = new LinkedHashMap<>(Map.of(TENANT, List.of(KEY)));

    private long version;

    Map<String, Object> route(String name, String prefix, String type, int timeoutMs, String service, int attempts) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", HOST);
        route.put("prefix", prefix);
        route.put("route_type", type);
        route.put("timeout_ms", timeoutMs);
        route.put("target_latency_ms", 600);
        route.put("priority", 1);
        route.put("service", service);
        route.put("max_attempts", attempts);
        route.put("allow_anonymous", false);
        route.put("session_affinity", type.equals("streaming"));
        route.put("stream_resume", false);
        route.put("gap_target_ms", type.equals("streaming") ? 400 : 0);
        routes.add(route);
        return route;
    }

    void engine(String name, int slots) {
        Map<String, Object> engine = new LinkedHashMap<>();
        engine.put("slots", slots);
        engine.put("kv_capacity_tokens", 563606);
        engine.put("models", List.of(Map.of("name", "m")));
        Map<String, Object> service = plainService(name, 610);
        service.put("engine", engine);
    }

    Map<String, Object> plainService(String name, int maxConnections) {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", name);
        service.put("health_check_path", "/health");
        service.put("max_connections", maxConnections);
        service.put("protocol", "h1");
        service.put("tls", false);
        services.add(service);
        return service;
    }

    /** Returns the next version. */
    String next() {
        Map<String, Object> all = new LinkedHashMap<>();
        version += 2;
        all.put("version", version);
        all.put("routes", routes);
        all.put("services", services);
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("max_header_bytes", 16384);
        limits.put("max_body_bytes", 4194304);
        limits.put("header_timeout_ms", 3000);
        limits.put("idle_timeout_ms", 15000);
        all.put("limits", limits);
        List<Object> rows = new ArrayList<>();
        tenants.forEach((name, keys) -> {
            Map<String, Object> tenant = new LinkedHashMap<>();
            tenant.put("name", name);
            tenant.put("api_keys", keys);
            rows.add(tenant);
        });
        all.put("tenants", rows);
        return Json.write(all);
    }

    long version() {
        return version;
    }
}
