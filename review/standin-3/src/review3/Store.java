package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.json.JsonObject;

/**
 * The platform's store as its page describes it, with its limits on pages and values, and the platform's calls of duties,
 * which are accepted.
 */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_048_576;
    private static final int VALUE_BYTES = 1_048_576;
    private static final long HISTORY_NS = TimeUnit.SECONDS.toNanos(20);

    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Change(String key, long revision, Item item, long atNs) {}

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 1;
    private long oldestRevision = 1;
    private long lastLease;
    private volatile boolean busy;
    private volatile String dutyHolder = "";
    private volatile int reports;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::serve);
        server.setExecutor(threads);
        server.start();
        timer.scheduleAtFixedRate(this::expire, 50, 50, TimeUnit.MILLISECONDS);
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Sets whether the store answers each call with 503, which means that nothing was done. */
    void setBusy(boolean next) {
        busy = next;
    }

    /** Returns the instance that made the last call of a duty. */
    String dutyHolder() {
        return dutyHolder;
    }

    /** Returns the number of usage reports. */
    int reports() {
        return reports;
    }

    synchronized void put(String key, byte[] value) {
        revision++;
        write(key, value, 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    private void write(String key, byte[] value, long lease) {
        Item old = items.get(key);
        Item item = new Item(value, revision, old == null ? revision : old.created, lease);
        items.put(key, item);
        history.add(new Change(key, revision, item, System.nanoTime()));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new Change(key, revision, null, System.nanoTime()));
        }
    }

    private synchronized void expire() {
        long nowNs = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leases.forEach((lease, times) -> {
            if (times[0] <= nowNs) {
                ended.add(lease);
            }
        });
        ended.forEach(this::endLease);
        int old = 0;
        while (old < history.size() && nowNs - history.get(old).atNs > HISTORY_NS) {
            oldestRevision = history.get(old++).revision;
        }
        history.subList(0, old).clear();
    }

    private void endLease(long lease) {
        if (leases.remove(lease) == null) {
            return;
        }
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease == lease) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private void serve(HttpExchange exchange) {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().getPath();
            if (busy) {
                respond(exchange, 503, Map.of());
            } else if (path.startsWith("/-/")) {
                call(exchange, path.substring(3), body);
            } else {
                dutyHolder = exchange.getRequestHeaders().getFirst("X-Duty-Holder");
                reports += path.equals("/usage") ? 1 : 0;
                respond(exchange, 200, Map.of());
            }
        } catch (IOException | JsonFormatException e) {
            // The client has left, or its request is invalid; the connection is closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void call(HttpExchange exchange, String call, byte[] body)
            throws IOException, JsonFormatException, InterruptedException {
        Map<String, String> query = query(exchange);
        int slash = call.indexOf('/');
        String name = slash < 0 ? call : call.substring(0, slash);
        long id = slash < 0 ? 0 : Long.parseLong(call.substring(slash + 1));
        switch (name) {
            case "kv-key":
                read(exchange, query.get("key"));
                break;
            case "kv-range":
                list(exchange, query.get("prefix"), query.getOrDefault("after", ""));
                break;
            case "kv-watch":
                watch(
                        exchange,
                        query.get("prefix"),
                        Long.parseLong(query.get("after")),
                        Long.parseLong(query.get("wait_ms")));
                break;
            case "kv-txn":
                transact(exchange, Json.readObject(body));
                break;
            case "kv-lease":
                grantLease(exchange, Json.readObject(body).integer("ttl_ms"));
                break;
            case "kv-keep":
                renewLease(exchange, id);
                break;
            default:
                synchronized (this) {
                    endLease(id);
                }
                respond(exchange, 200, Map.of());
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        for (String pair : query == null ? new String[0] : query.split("&")) {
            String[] parts = pair.split("=", 2);
            values.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        return values;
    }

    private static Map<String, Object> row(String key, Item item) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("key", key);
        row.put("value", Base64.getEncoder().encodeToString(item.value));
        row.put("revision", item.revision);
        row.put("created", item.created);
        row.put("lease", item.lease);
        return row;
    }

    private void read(HttpExchange exchange, String key) throws IOException {
        Map<String, Object> row = null;
        synchronized (this) {
            Item item = items.get(key);
            if (item != null) {
                row = row(key, item);
                row.put("store_revision", revision);
            }
        }
        respond(exchange, row == null ? 404 : 200, row == null ? Map.of() : row);
    }

    private void list(HttpExchange exchange, String prefix, String after) throws IOException {
        Map<String, Object> response = new LinkedHashMap<>();
        synchronized (this) {
            List<Object> rows = new ArrayList<>();
            long bytes = 0;
            boolean more = false;
            String from = after.compareTo(prefix) > 0 ? after : prefix;
            for (Map.Entry<String, Item> each :
                    items.subMap(from, !from.equals(after), prefix + Character.MAX_VALUE, false).entrySet()) {
                bytes += each.getValue().value.length * 4L / 3 + each.getKey().length() + 100;
                if (!rows.isEmpty() && (rows.size() >= PAGE_ITEMS || bytes > PAGE_BYTES)) {
                    more = true;
                    break;
                }
                rows.add(row(each.getKey(), each.getValue()));
            }
            response.put("items", rows);
            response.put("more_pages", more);
            response.put("store_revision", revision);
        }
        respond(exchange, 200, response);
    }

    private void watch(HttpExchange exchange, String prefix, long after, long waitMs)
            throws IOException, InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        Map<String, Object> response = new LinkedHashMap<>();
        boolean lost;
        synchronized (this) {
            List<Object> events = eventsAfter(prefix, after);
            while (events.isEmpty() && after >= oldestRevision && !busy && System.nanoTime() < endNs) {
                wait(Math.max(1, Math.min(100, (endNs - System.nanoTime()) / 1_000_000)));
                events = eventsAfter(prefix, after);
            }
            lost = after < oldestRevision || after > revision;
            response.put("events", events);
            response.put("store_revision", revision);
        }
        if (busy) {
            respond(exchange, 503, Map.of());
        } else {
            respond(exchange, lost ? 410 : 200, lost ? Map.of() : response);
        }
    }

    private List<Object> eventsAfter(String prefix, long after) {
        int first = history.size();
        while (first > 0 && history.get(first - 1).revision > after) {
            first--;
        }
        List<Object> events = new ArrayList<>();
        for (Change change : history.subList(first, history.size())) {
            if (change.key.startsWith(prefix)) {
                events.add(
                        change.item == null
                                ? Map.of("key", change.key, "revision", change.revision, "deleted", true)
                                : row(change.key, change.item));
            }
        }
        return events;
    }

    private void transact(HttpExchange exchange, JsonObject body) throws IOException, JsonFormatException {
        int status;
        long written;
        synchronized (this) {
            status = apply(body);
            written = revision;
        }
        respond(exchange, status, status == 200 ? Map.of("revision", written) : Map.of("items", List.of()));
    }

    private int apply(JsonObject body) throws JsonFormatException {
        for (JsonObject row : body.objects("expected_revision")) {
            Item item = items.get(row.string("key"));
            if ((item == null ? 0 : item.revision) != row.integer("revision")) {
                return 412;
            }
        }
        Map<String, byte[]> values = new LinkedHashMap<>();
        for (JsonObject row : body.objects("puts")) {
            byte[] value = Base64.getDecoder().decode(row.text("value"));
            if (value.length > VALUE_BYTES) {
                return 400;
            }
            if (row.integer("lease", 0) != 0 && !leases.containsKey(row.integer("lease"))) {
                return 404;
            }
            values.put(row.string("key"), value);
        }
        revision++;
        for (JsonObject row : body.objects("puts")) {
            write(row.string("key"), values.get(row.string("key")), row.integer("lease", 0));
        }
        for (String key : body.strings("deletes")) {
            remove(key);
        }
        notifyAll();
        return 200;
    }

    private void grantLease(HttpExchange exchange, long ttlMs) throws IOException {
        long lease;
        synchronized (this) {
            lease = ++lastLease;
            leases.put(lease, new long[] {System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttlMs), ttlMs});
        }
        respond(exchange, 200, Map.of("lease", lease, "ttl_ms", ttlMs));
    }

    private void renewLease(HttpExchange exchange, long lease) throws IOException {
        long[] times;
        synchronized (this) {
            times = leases.get(lease);
            if (times != null) {
                times[0] = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(times[1]);
            }
        }
        respond(exchange, times == null ? 404 : 200, times == null ? Map.of() : Map.of("ttl_ms", times[1]));
    }

    private static void respond(HttpExchange exchange, int status, Map<String, Object> body) throws IOException {
        byte[] text = Json.write(body);
        exchange.getResponseHeaders().add("Store-Era", "0");
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, text.length);
        exchange.getResponseBody().write(text);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
        timer.shutdownNow();
    }
}
