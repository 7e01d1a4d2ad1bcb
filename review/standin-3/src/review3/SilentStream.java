package review3;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Streams whose worker pauses midway, around a SIGHUP, while the other worker is full. */
final class SilentStream implements CaseMain.Case {
    static final int INSTANCES = 4;
    private static final int EVENTS = 10;
    private static final int PAUSE_AFTER = 4;
    private static final long PAUSE_MS = 2_000;
    private static final int STREAMS = 6;

    @Override
    public boolean run(Fleet fleet, Record record, boolean trouble) throws Exception {
        Map<String, String> began = new ConcurrentHashMap<>();
        AtomicInteger finished = new AtomicInteger();
        for (int i = 0; i < 2; i++) {
            String id = "i-7f3a91c" + i;
            boolean full = i == 1;
            fleet.workers.add(new Worker(id, "huvo11a", 16, fleet.store, (request, output) -> {
                String resumed = request.headers().getOrDefault("last-event-id", "");
                if (full) {
                    record.line("worker %s is full and rejects %s (Last-Event-Id %s)", id, request.attempt(), resumed);
                    Worker.answer(output, 503, request, false, "X-Not-Executed: 1\r\nX-Server-Load: 16,16,16\r\n", "");
                    return;
                }
                record.line("worker %s runs %s", id, request.attempt());
                began.put(request.attempt(), id);
                stream(request, output, trouble, record, id);
                finished.incrementAndGet();
                record.line("worker %s has finished %s", id, request.attempt());
            }));
        }
        Map<String, Object> route = Fleet.route("r-chat", "/lohu930/", "streaming", "huvo11a", 10_000);
        route.put("target_latency_ms", 600);
        route.put("gap_target_ms", 250);
        route.put("stream_resume", true);
        route.put("max_attempts", 2);
        route.put("session_affinity", true);
        fleet.configure(7, List.of(route), List.of("huvo11a"));
        fleet.start();
        // The cut requests are those sent after the whole contact time without unplanned disruption.
        Worker.pause(12_000);
        Entry entry = fleet.entries.get(0);
        record.line("SIGHUP to %s", entry.name);
        entry.signal("HUP");
        Worker.pause(200);
        List<Thread> threads = new ArrayList<>();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger streams = new AtomicInteger();
        for (int i = 0; i < STREAMS; i++) {
            String attempt = "9c41d07be2a3" + (1000 + i);
            Thread thread = new Thread(() -> {
                try (Client client = new Client(entry.callerPort)) {
                    Map<String, String> headers = new LinkedHashMap<>(Fleet.headers(attempt, 10_000));
                    headers.put("X-Model", "m");
                    headers.put("X-Token-Count", "1460,80");
                    headers.put("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
                    record.line("client sends %s", attempt);
                    client.send(Client.request("POST", "/lohu930/2f", Fleet.HOST, headers));
                    Client.Response response = client.read();
                    int events = response.body().split("\n\n", -1).length - 1;
                    record.line("client of %s: answer %s, %d of %d events", attempt, response, events, EVENTS);
                    if (response.status() == 200) {
                        streams.incrementAndGet();
                        cut.addAndGet(response.complete() ? 0 : 1);
                    }
                } catch (IOException e) {
                    record.line("client of %s: %s", attempt, e);
                }
            });
            threads.add(thread);
            thread.start();
            Worker.pause(150);
        }
        for (Thread each : threads) {
            each.join();
        }
        Worker.pause(500);
        record.line(
                "%d streams began at the sound worker, %d finished there; %d of %d were broken off for the client",
                began.size(), finished.get(), cut.get(), streams.get());
        return cut.get() > 0;
    }

    private static void stream(Worker.Request request, OutputStream output, boolean pauses, Record record, String id)
            throws IOException {
        write(
                output,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + request.attempt()
                        + "\r\nX-Response-Signature: sig." + request.attempt()
                        + "\r\nX-Server-Load: 4,0,16\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = 1; number <= EVENTS; number++) {
            String event = "id: " + number + "\ndata: " + request.attempt() + " " + number + "\n\n";
            write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            boolean preempted = pauses && number == PAUSE_AFTER;
            if (preempted) {
                record.line("worker %s preempts %s for %d ms", id, request.attempt(), PAUSE_MS);
            }
            Worker.pause(preempted ? PAUSE_MS : 60);
        }
        write(output, "0\r\n\r\n");
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }
}
