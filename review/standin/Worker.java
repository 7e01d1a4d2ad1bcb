import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker as PROTOCOL.md describes it: plain answers, or a stream of events where the path has "stream". */
final class Worker implements AutoCloseable {
    /** One request that the worker ran. */
    record Run(String attemptId, long atMs, String tenant, String path, int priority) {}

    private record Arrival(String attemptId, long atMs) {}

    final String id;
    final String service;
    private final Record record;
    private final HttpServer server;
    private final long workMs;
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private final AtomicInteger present = new AtomicInteger();
    private volatile int slots = Integer.MAX_VALUE / 2;
    private volatile int queue;
    private volatile Semaphore free = new Semaphore(slots, true);
    private final Queue<Arrival> arrived = new ConcurrentLinkedQueue<>();

    Worker(String id, String service, long workMs, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.workMs = workMs;
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    List<Run> runs() {
        return runs;
    }

    /** Limits the requests that the worker runs at once and those that wait; it rejects more than that as full. */
    void limit(int newSlots, int newQueue) {
        slots = newSlots;
        queue = newQueue;
        free = new Semaphore(newSlots, true);
    }

    /** Returns the identifiers of all requests that reached the worker, with the times of their arrival. */
    Map<String, List<Long>> arrivals() {
        Map<String, List<Long>> times = new HashMap<>();
        for (Arrival each : arrived) {
            times.computeIfAbsent(each.attemptId(), id -> new ArrayList<>()).add(each.atMs());
        }
        return times;
    }

    /** Returns the entry that the worker writes to the store. */
    byte[] entry(String zone, String state, long bornMs, int slots, long sequence) {
        return ("{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                        + "\",\"cold_remaining_ms\":0,\"born\":" + bornMs + ",\"sequence\":" + sequence + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String header(HttpExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            String attempt = header(exchange, "X-Attempt-Id");
            exchange.getResponseHeaders().add("X-Attempt-Id", attempt);
            exchange.getResponseHeaders().add("X-Response-Signature", id + "." + attempt);
            arrived.add(new Arrival(attempt, record.nowMs()));
            String expected = header(exchange, "X-Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                exchange.getResponseHeaders().add("X-Not-Executed", "1");
                exchange.sendResponseHeaders(421, -1);
                return;
            }
            if (present.incrementAndGet() > slots + queue) {
                present.decrementAndGet();
                exchange.getResponseHeaders().add("X-Not-Executed", "1");
                exchange.sendResponseHeaders(503, -1);
                return;
            }
            String priority = header(exchange, "X-Request-Priority");
            runs.add(new Run(
                    attempt,
                    record.nowMs(),
                    header(exchange, "X-Tenant"),
                    exchange.getRequestURI().getPath(),
                    priority.isEmpty() ? 5 : Integer.parseInt(priority)));
            free.acquireUninterruptibly();
            try {
                if (exchange.getRequestURI().getPath().contains("stream")) {
                    stream(exchange);
                    return;
                }
                Threads.sleepMs(workMs);
                byte[] body = ("{\"done\":\"" + attempt + "\"}").getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(200, body.length);
                exchange.getResponseBody().write(body);
            } finally {
                free.release();
                present.decrementAndGet();
            }
        }
    }

    private void stream(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().add("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        for (int event = 1; event <= 3; event++) {
            Threads.sleepMs(workMs);
            out.write(("id: " + event + "\ndata: token\n\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
