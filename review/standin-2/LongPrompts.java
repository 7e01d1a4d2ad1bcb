import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A burst of requests whose prompts have many parts, within the limit on heads, while engines are busy. */
final class LongPrompts extends Case {
    private static final int WORKERS = 6;
    private static final int SLOTS = 128;
    /** Time from the arrival of a request at an engine to its first event. */
    private static final long FIRST_EVENT_MS = 6_000;
    private static final int REQUESTS = 500;
    private static final long GAP_MS = 12;
    /** Parts of 16 tokens, the block size of the engines' memory in the site file. */
    private static final int PARTS = 1_950;
    private static final int FEW_PARTS = 3;
    private static final int MAX_HEADER_BYTES = 16_384;

    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger cutAfterPassedOn = new AtomicInteger();

    public static void main(String[] arguments) {
        main(new LongPrompts(), arguments[0]);
    }

    @Override
    int play() throws Exception {
        zones.put("szeged-a", "alfold");
        configuration.engine("nyelvmodell", SLOTS);
        configuration.route("r-layout", "/lohu930/", "streaming", 10_000, "nyelvmodell", 1).put("target_latency_ms", 2000);
        for (int i = 1; i <= WORKERS; i++) {
            new Worker(
                    store,
                    record,
                    "127.0.0.1",
                    "i-" + i,
                    "nyelvmodell",
                    "szeged-a",
                    SLOTS,
                    (worker, request, socket, in) -> {
                        passedOn.add(request.header("X-Attempt-Id"));
                        record.line(request.header("X-Attempt-Id") + " reaches " + worker.id);
                        worker.beginStream(socket, request);
                        sleep(FIRST_EVENT_MS);
                        worker.run(request);
                        Worker.event(socket, 1, "first");
                        sleep(100);
                        Worker.event(socket, 2, "last");
                        Worker.endStream(socket);
                        return true;
                    });
        }
        configuration.plainService("rendeles", 110);
        configuration.route("r-status", "/puxa403/", "safe", 1200, "rendeles", 2);
        new Worker(store, record, "127.0.0.1", "i-9", "rendeles", "szeged-a", 64, (worker, request, socket, in) -> {
            worker.respond(socket, request, 200, "ready".getBytes());
            return true;
        });
        store.write("op/config", configuration.next());
        Daemon daemon = addDaemon("front-szeged-a-1", "szeged-a");
        if (!startDaemons(430)) {
            return NOT_RUN;
        }
        StringBuilder prefix = new StringBuilder();
        for (int i = 0; i < (trouble ? PARTS : FEW_PARTS); i++) {
            prefix.append(Integer.toHexString(0x1000 + i)).append(":16,");
        }
        record.say("prompts of " + (trouble ? PARTS : FEW_PARTS) + " parts");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS && daemon.process.isAlive(); i++) {
            int number = i;
            String prompt = prefix + "e" + Integer.toHexString(0x10000 + number) + ":250";
            Thread client = new Thread(null, () -> request(daemon, "a" + number, prompt), "client", 256 * 1024);
            client.start();
            clients.add(client);
            sleep(GAP_MS);
        }
        for (Thread each : clients) {
            each.join(12_000);
        }
        if (!daemon.process.isAlive()) {
            record.say(daemon.name + " has ended by itself with status " + daemon.process.exitValue());
        }
        record.say(clients.size() + " requests: " + answered + " answered with 200, " + refused + " otherwise, " + cut
                + " connections closed without an answer, " + cutAfterPassedOn + " of them after the request was passed on");
        return cutAfterPassedOn.get() > 3 ? BROKEN : HELD;
    }

    private void request(Daemon daemon, String attempt, String prompt) {
        String[] headers = {
            "Host",
            Configuration.HOST,
            "X-Attempt-Id",
            attempt,
            "X-Model",
            "m",
            "X-Token-Count",
            "31450,80",
            "X-Prompt-Prefix",
            prompt,
            "X-Deadline-Ms",
            "10000",
            "Authorization",
            "Bearer " + Configuration.KEY
        };
        int headBytes = Message.format("POST /lohu930/2f HTTP/1.1", new byte[0], headers).length;
        if (headBytes > MAX_HEADER_BYTES) {
            throw new IllegalStateException("the head has " + headBytes + " bytes");
        }
        Message answer = null;
        try (Client client = new Client(daemon, 0)) {
            client.send(
                    "GET /puxa403/2f HTTP/1.1",
                    new byte[0],
                    "Host",
                    Configuration.HOST,
                    "X-Attempt-Id",
                    "s" + attempt,
                    "X-Deadline-Ms",
                    "2500",
                    "Authorization",
                    "Bearer " + Configuration.KEY);
            Message status = client.receive();
            if (status == null || status.status() != 200) {
                record.line(attempt + " is not sent, the request before it was not served");
                return;
            }
            record.line(attempt + " is sent on the kept connection, its head has " + headBytes + " bytes");
            client.send("POST /lohu930/2f HTTP/1.1", "prompt".getBytes(), headers);
            answer = client.receive();
        } catch (IOException e) {
            record.line(attempt + ": " + e.getMessage());
        }
        if (answer != null && answer.complete) {
            record.line(attempt + " is answered: " + answer.start);
            (answer.status() == 200 ? answered : refused).incrementAndGet();
            return;
        }
        boolean passed = passedOn.contains(attempt);
        record.line(attempt + ": the connection is closed without an answer" + (passed ? ", it was passed on" : ""));
        cut.incrementAndGet();
        cutAfterPassedOn.addAndGet(passed ? 1 : 0);
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
