import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three workers fails part of its requests for a while: it runs them and then answers 503 without stating that it
 * has not. The clients repeat a request that may not be repeated only after a promise that it has not run.
 */
final class FalseRefusal extends Case {
    private static final double FAILED_SHARE = 0.45;
    private static final long BEFORE_MS = 2_000;
    private static final long GREY_MS = 6_500;
    private static final int CLIENTS = 4;
    private static final long PAUSE_MS = 250;
    private static final long WORK_MS = 40;

    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger refusedAfterRun = new AtomicInteger();
    private final AtomicInteger ordersRunTwice = new AtomicInteger();
    private volatile boolean grey;
    private volatile boolean ended;

    public static void main(String[] arguments) {
        main(new FalseRefusal(), arguments[0]);
    }

    @Override
    int play() throws Exception {
        zones.put("szeged-a", "alfold");
        configuration.plainService("rendeles", 110);
        configuration.route("r-order", "/lohu930/", "non_idempotent", 1200, "rendeles", 1);
        for (int i = 1; i <= 3; i++) {
            boolean affected = i == 1;
            new Worker(store, record, "127.0.0.1", "i-" + i, "rendeles", "szeged-a", 6, (worker, request, socket, in) -> {
                worker.run(request);
                run.add(request.header("X-Attempt-Id"));
                sleep(WORK_MS);
                boolean fails = affected && grey && ThreadLocalRandom.current().nextDouble() < FAILED_SHARE;
                worker.respond(socket, request, fails ? 503 : 200, "done".getBytes());
                return true;
            });
        }
        store.write("op/config", configuration.next());
        addDaemon("front-szeged-a-1", "szeged-a");
        if (!startDaemons(430)) {
            return NOT_RUN;
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> client(number));
            client.start();
            clients.add(client);
        }
        sleep(BEFORE_MS);
        grey = trouble;
        record.say(trouble ? "i-1 begins to fail requests" : "no disruption");
        sleep(GREY_MS);
        grey = false;
        record.say("i-1 is well");
        sleep(BEFORE_MS);
        ended = true;
        for (Thread each : clients) {
            each.join(4_000);
        }
        record.say(sent + " requests; " + refusedAfterRun + " that a worker had run were answered with 503; "
                + ordersRunTwice + " orders ran twice because their client came back after that");
        return refusedAfterRun.get() > 0 ? BROKEN : HELD;
    }

    private void client(int number) {
        int order = 0;
        while (!ended) {
            order++;
            String first = "o" + number + "-" + order + "-1";
            if (request(first) == 503) {
                String second = "o" + number + "-" + order + "-2";
                request(second);
                ordersRunTwice.addAndGet(run.contains(first) && run.contains(second) ? 1 : 0);
            }
            sleep(PAUSE_MS);
        }
    }

    private int request(String attempt) {
        sent.incrementAndGet();
        try (Client client = new Client(daemons.get(0), 0)) {
            record.line(attempt + " is sent");
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
            Message answer = client.receive();
            int status = answer == null ? 0 : answer.status();
            record.line(attempt + " is answered with " + status + ", signature "
                    + (answer == null ? null : answer.header("X-Response-Signature")));
            refusedAfterRun.addAndGet(status == 503 && run.contains(attempt) ? 1 : 0);
            return status;
        } catch (IOException e) {
            record.line(attempt + ": " + e.getMessage());
            return 0;
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
