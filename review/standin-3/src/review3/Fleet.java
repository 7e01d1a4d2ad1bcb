package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cranberrybend.entry.json.Json;

/** A small deployment: the platform's store, entry instances and workers, all on loopback. */
final class Fleet implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    final Store store;
    final List<Entry> entries;
    final List<Worker> workers = new ArrayList<>();
    final Record record;
    private final Path directory;

    Fleet(int instances, Record record) throws Exception {
        this.record = record;
        directory = Files.createTempDirectory("review3");
        store = new Store();
        Path root = Path.of("").toAbsolutePath();
        entries = Entry.create(instances, root, directory, store.port());
    }

    static Map<String, Object> route(String name, String prefix, String type, String service, long timeoutMs) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", HOST);
        route.put("prefix", prefix);
        route.put("route_type", type);
        route.put("timeout_ms", timeoutMs);
        route.put("target_latency_ms", 600);
        route.put("priority", 1);
        route.put("service", service);
        route.put("max_attempts", 1);
        route.put("allow_anonymous", false);
        return route;
    }

    void configure(long version, List<Map<String, Object>> routes, List<String> services) {
        configure(version, routes, services, List.of(Map.of("name", "hule930", "api_keys", List.of(KEY))));
    }

    void configure(
            long version, List<Map<String, Object>> routes, List<String> services, List<Map<String, Object>> accounts) {
        List<Object> rows = new ArrayList<>();
        for (String service : services) {
            rows.add(Map.of("name", service, "health_check_path", "/health", "max_connections", 96));
        }
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("version", version);
        configuration.put("routes", routes);
        configuration.put("services", rows);
        configuration.put("tenants", accounts);
        configuration.put(
                "limits",
                Map.of(
                        "max_header_bytes", 16_384,
                        "max_body_bytes", 4_194_304,
                        "header_timeout_ms", 3_000,
                        "idle_timeout_ms", 15_000));
        store.put("op/config", Json.write(configuration));
    }

    /** Starts all instances and waits until they are ready. */
    void start() throws Exception {
        for (Entry each : entries) {
            each.start();
        }
        long endMs = System.currentTimeMillis() + 30_000;
        for (Entry each : entries) {
            while (!each.isReady()) {
                if (System.currentTimeMillis() > endMs || !each.isRunning()) {
                    throw new IllegalStateException(each.name + " does not become ready");
                }
                Worker.pause(50);
            }
        }
        record.line("%d instances are ready", entries.size());
    }

    static Map<String, String> headers(String attempt, long deadlineMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Attempt-Id", attempt);
        headers.put("X-Deadline-Ms", Long.toString(deadlineMs));
        headers.put("Authorization", "Bearer " + KEY);
        return headers;
    }

    Path directory() {
        return directory;
    }

    @Override
    public void close() throws Exception {
        for (Entry each : entries) {
            each.close();
        }
        for (Worker each : workers) {
            each.close();
        }
        store.close();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }
}
