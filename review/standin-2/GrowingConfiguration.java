import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The configuration has grown by many routes, and is then changed in storms. */
final class GrowingConfiguration extends Case {
    private static final int ADDED_ROUTES = 1_652;
    private static final long STORM_MS = 4_000;
    private static final long GAP_MS = 330;
    private static final long PAUSE_MS = 0;
    private static final long PLAY_MS = 100_000;
    private static final int CLIENTS = 16;
    private static final long WORK_MS = 300;

    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private volatile boolean ended;

    public static void main(String[] arguments) {
        main(new GrowingConfiguration(), arguments[0]);
    }

    @Override
    int play() throws Exception {
        zones.put("szeged-a", "alfold");
        configuration.plainService("rendeles", 110);
        configuration.route("r-order", "/lohu930/", "non_idempotent", 1200, "rendeles", 1);
        new Worker(store, record, "127.0.0.1", "i-1", "rendeles", "szeged-a", 64, (worker, request, socket, in) -> {
            worker.run(request);
            passedOn.add(request.header("X-Attempt-Id"));
            sleep(WORK_MS);
            worker.respond(socket, request, 200, "done".getBytes());
            return true;
        });
        store.write("op/config", configuration.next());
        addDaemon("front-szeged-a-1", "szeged-a");
        addDaemon("front-szeged-a-2", "szeged-a");
        if (!startDaemons(430)) {
            return NOT_RUN;
        }
        if (trouble) {
            for (int i = 0; i < ADDED_ROUTES; i++) {
                configuration.route("r-" + i, "/idle" + i + "/", "safe", 1200, "rendeles", 2);
            }
        }
        store.write("op/config", configuration.next());
        record.say("the configuration has " + configuration.routes.size() + " routes and "
                + store.read("op/config").length() + " bytes");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> client(number));
            client.start();
            clients.add(client);
        }
        long end = System.currentTimeMillis() + PLAY_MS;
        int changes = 0;
        while (System.currentTimeMillis() < end && exits() < 1) {
            long stormEnd = System.currentTimeMillis() + STORM_MS;
            while (System.currentTimeMillis() < stormEnd && exits() < 1) {
                store.write("op/config", configuration.next());
                changes++;
                record.line("version " + configuration.version() + " is acknowledged");
                sleep(GAP_MS);
            }
            sleep(PAUSE_MS);
        }
        ended = true;
        for (Thread each : clients) {
            each.join(3_000);
        }
        for (Daemon each : daemons) {
            if (!each.process.isAlive()) {
                record.say(each.name + " has ended by itself with status " + each.process.exitValue());
            }
        }
        record.say(changes + " changes; " + answered + " requests answered; " + cut
                + " requests that a worker ran had their connection closed without an answer");
        return cut.get() > 3 ? BROKEN : HELD;
    }

    private int exits() {
        int exits = 0;
        for (Daemon each : daemons) {
            exits += each.process.isAlive() ? 0 : 1;
        }
        return exits;
    }

    private void client(int number) {
        Daemon daemon = daemons.get(number % daemons.size());
        int count = 0;
        while (!ended && daemon.process.isAlive()) {
            try (Client client = new Client(daemon, 0)) {
                while (!ended) {
                    String attempt = "a" + number + "-" + ++count;
                    if (!request(client, daemon, attempt)) {
                        break;
                    }
                }
            } catch (IOException e) {
                record.line("client " + number + ": " + e.getMessage());
            }
        }
    }

    private boolean request(Client client, Daemon daemon, String attempt) {
        Message answer = null;
        record.line(attempt + " is sent to " + daemon.name);
        try {
            client.send(
                    "POST /lohu930/2f HTTP/1.1",
                    "order".getBytes(),
                    "Host",
                    Configuration.HOST,
                    "X-Attempt-Id",
                    attempt,
                    "X-Deadline-Ms",
                    "2500",
                    "Authorization",
                    "Bearer " + Configuration.KEY);
            answer = client.receive();
        } catch (IOException e) {
            record.line(attempt + ": " + e.getMessage());
        }
        if (answer != null && answer.complete) {
            record.line(attempt + " is answered: " + answer.start);
            answered.incrementAndGet();
            return true;
        }
        boolean run = passedOn.contains(attempt);
        record.line(attempt + ": the connection is closed without an answer" + (run ? ", a worker has run it" : ""));
        cut.addAndGet(run ? 1 : 0);
        return false;
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
