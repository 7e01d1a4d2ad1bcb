import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's key-value store, as the pages describe it. It keeps its history for 20 s. */
class Store {
    private static final long HISTORY_MS = 20_000;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private record Item(String key, byte[] value, long revision, long created, long lease) {}

    private record Event(long revision, String key, Item item, long atMs) {}

    private static final class Lease {
        long ttlMs;
        long endMs;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long compacted = 100;
    private long nextLease = 5_000;
    final Listener listener;

    Store(String ip) throws IOException {
        listener = new Listener(ip, 0, this::handle);
        Thread expiry = new Thread(this::expire, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    private void expire() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = System.currentTimeMillis();
                for (Long id : new ArrayList<>(leases.keySet())) {
                    if (leases.get(id).endMs <= now) {
                        endLease(id);
                    }
                }
                while (!history.isEmpty() && history.get(0).atMs < now - HISTORY_MS) {
                    compacted = history.remove(0).revision;
                }
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        for (Item item : new ArrayList<>(items.values())) {
            if (item.lease == id) {
                revision++;
                delete(item.key);
            }
        }
        notifyAll();
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            history.add(new Event(revision, key, null, System.currentTimeMillis()));
        }
    }

    private void put(String key, byte[] value, long lease) {
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        history.add(new Event(revision, key, item, System.currentTimeMillis()));
    }

    /** Writes a key for the operator or a worker; the return is the acknowledgement. */
    synchronized void write(String key, String value) {
        revision++;
        put(key, value.getBytes(StandardCharsets.UTF_8), 0);
        notifyAll();
    }

    /** Deletes a key for the operator or a worker. */
    synchronized void remove(String key) {
        revision++;
        delete(key);
        notifyAll();
    }

    synchronized String read(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(item.value, StandardCharsets.UTF_8);
    }

    private static Map<String, Object> row(Item item) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("key", item.key);
        row.put("value", Base64.getEncoder().encodeToString(item.value));
        row.put("revision", item.revision);
        row.put("created", item.created);
        row.put("lease", item.lease);
        return row;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> values = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                values.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    /** A further address of the store, as one machine sees it: its link and whether the machine is turned away. */
    final class Gate {
        final Listener listener;
        /** Whether calls are answered with 503, which means that nothing was done. */
        volatile boolean busy;
        /** Rate of the link in bytes per second; 0 for no bound. */
        volatile int bytesPerS;

        Gate(String ip) throws IOException {
            listener = new Listener(ip, 0, this::handle);
        }

        private boolean handle(Message request, Socket socket, BufferedInputStream in) throws IOException {
            if (busy) {
                socket.getOutputStream().write(Message.format("HTTP/1.1 503 S", new byte[0]));
                return true;
            }
            byte[] answer = answer(request);
            if (answer == null) {
                return false;
            }
            if (busy) {
                // A watch that was waiting is cut.
                return false;
            }
            if (bytesPerS == 0) {
                socket.getOutputStream().write(answer);
                return true;
            }
            int piece = Math.max(1, bytesPerS / 100);
            long startNs = System.nanoTime();
            for (int from = 0; from < answer.length; from += piece) {
                int count = Math.min(piece, answer.length - from);
                socket.getOutputStream().write(answer, from, count);
                long dueNs = startNs + (from + count) * 1_000_000_000L / bytesPerS;
                try {
                    Thread.sleep(Math.max(0, (dueNs - System.nanoTime()) / 1_000_000));
                } catch (InterruptedException e) {
                    return false;
                }
            }
            return true;
        }

        String address() {
            return listener.address();
        }
    }

    private boolean handle(Message request, Socket socket, BufferedInputStream in) throws IOException {
        byte[] answer = answer(request);
        if (answer == null) {
            return false;
        }
        socket.getOutputStream().write(answer);
        return true;
    }

    /** Carries out a call; null if the process ends. */
    private byte[] answer(Message request) {
        String target = request.target();
        String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
        Map<String, String> query = query(target);
        Map<String, Object> out = new LinkedHashMap<>();
        int status;
        try {
            status = answer(request, path, query, out);
        } catch (InterruptedException e) {
            return null;
        }
        byte[] body = Json.write(out).getBytes(StandardCharsets.UTF_8);
        return Message.format("HTTP/1.1 " + status + " S", body, "Content-Type", "application/json");
    }

    private synchronized int answer(
            Message request, String path, Map<String, String> query, Map<String, Object> out)
            throws InterruptedException {
        if (path.equals("/-/kv-key")) {
            Item item = items.get(query.get("key"));
            if (item != null) {
                out.putAll(row(item));
            }
            out.put("store_revision", revision);
            return item == null ? 404 : 200;
        }
        if (path.equals("/-/kv-range")) {
            List<Object> rows = new ArrayList<>();
            String prefix = query.get("prefix");
            int bytes = 0;
            boolean more = false;
            for (Item item : items.tailMap(query.getOrDefault("after", prefix), !query.containsKey("after"))
                    .values()) {
                if (!item.key.startsWith(prefix)) {
                    break;
                }
                if (rows.size() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
                    more = true;
                    break;
                }
                rows.add(row(item));
                bytes += item.value.length;
            }
            out.put("items", rows);
            out.put("more_pages", more);
            out.put("store_revision", revision);
            return 200;
        }
        if (path.equals("/-/kv-watch")) {
            long after = Long.parseLong(query.get("after"));
            long end = System.currentTimeMillis() + Long.parseLong(query.get("wait_ms"));
            while (true) {
                if (after < compacted) {
                    return 410;
                }
                List<Object> events = new ArrayList<>();
                for (Event event : history) {
                    if (event.revision > after && event.key.startsWith(query.get("prefix"))) {
                        if (event.item == null) {
                            Map<String, Object> row = new LinkedHashMap<>();
                            row.put("key", event.key);
                            row.put("revision", event.revision);
                            row.put("deleted", true);
                            events.add(row);
                        } else {
                            events.add(row(event.item));
                        }
                    }
                }
                long left = end - System.currentTimeMillis();
                if (!events.isEmpty() || left <= 0) {
                    out.put("events", events);
                    out.put("store_revision", revision);
                    return 200;
                }
                wait(left);
            }
        }
        if (path.equals("/-/kv-txn")) {
            return transact(Json.object(request.text()), out);
        }
        if (path.equals("/-/kv-lease")) {
            Lease lease = new Lease();
            lease.ttlMs = ((Number) Json.object(request.text()).get("ttl_ms")).longValue();
            lease.endMs = System.currentTimeMillis() + lease.ttlMs;
            leases.put(++nextLease, lease);
            out.put("lease", nextLease);
            out.put("ttl_ms", lease.ttlMs);
            return 200;
        }
        if (path.startsWith("/-/kv-keep/")) {
            Lease lease = leases.get(Long.valueOf(path.substring("/-/kv-keep/".length())));
            if (lease == null) {
                return 404;
            }
            lease.endMs = System.currentTimeMillis() + lease.ttlMs;
            out.put("ttl_ms", lease.ttlMs);
            return 200;
        }
        if (path.startsWith("/-/kv-lease-end/")) {
            endLease(Long.parseLong(path.substring("/-/kv-lease-end/".length())));
            return 200;
        }
        return 404;
    }

    @SuppressWarnings("unchecked")
    private int transact(Map<String, Object> body, Map<String, Object> out) {
        List<Object> conditions = (List<Object>) body.getOrDefault("expected_revision", List.of());
        List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
        List<Object> deletes = (List<Object>) body.getOrDefault("deletes", List.of());
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Object each : conditions) {
            Map<String, Object> row = (Map<String, Object>) each;
            Item item = items.get((String) row.get("key"));
            holds &= (item == null ? 0 : item.revision) == ((Number) row.get("revision")).longValue();
            if (item != null) {
                current.add(row(item));
            }
        }
        if (!holds) {
            out.put("items", current);
            return 412;
        }
        for (Object each : puts) {
            Object lease = ((Map<String, Object>) each).get("lease");
            if (lease != null && ((Number) lease).longValue() != 0 && !leases.containsKey(((Number) lease).longValue())) {
                return 404;
            }
        }
        revision++;
        for (Object each : puts) {
            Map<String, Object> row = (Map<String, Object>) each;
            Object lease = row.get("lease");
            put(
                    (String) row.get("key"),
                    Base64.getDecoder().decode((String) row.get("value")),
                    lease == null ? 0 : ((Number) lease).longValue());
        }
        for (Object each : deletes) {
            delete((String) each);
        }
        out.put("revision", revision);
        notifyAll();
        return 200;
    }
}
