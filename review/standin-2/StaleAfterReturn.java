import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store turns one instance away while the configuration changes in quick succession. After its return, a key is
 * withdrawn, and requests with it are sent to that instance once it is in touch and the bound has passed.
 */
final class StaleAfterReturn extends Case {
    private static final String WITHDRAWN_KEY = "anfqasnmgkcuyj8pjbvk";
    private static final int ADDED_ROUTES = 700;
    private static final long GAP_MS = 330;
    private static final long TURNED_AWAY_MS = 9_000;
    private static final long CONTACT_MS = 4_000;
    private static final long CONFIG_APPLY_MS = 2_500;
    /** Link between the regions: 21 Mbit/s. */
    private static final int LINK_BYTES_PER_S = 21_000_000 / 8;
    private static final long CHECK_MS = 8_000;

    private final AtomicInteger runs = new AtomicInteger();

    public static void main(String[] arguments) {
        main(new StaleAfterReturn(), arguments[0]);
    }

    @Override
    int play() throws Exception {
        zones.put("szeged-a", "alfold");
        zones.put("gyor-a", "dunantul");
        configuration.tenants.put(Configuration.TENANT, List.of(Configuration.KEY, WITHDRAWN_KEY));
        configuration.plainService("rendeles", 110);
        configuration.route("r-order", "/lohu930/", "non_idempotent", 1200, "rendeles", 1);
        new Worker(store, record, "127.0.0.1", "i-1", "rendeles", "gyor-a", 6, (worker, request, socket, in) -> {
            worker.run(request);
            worker.respond(socket, request, 200, "done".getBytes());
            return true;
        });
        for (int i = 0; i < ADDED_ROUTES; i++) {
            configuration.route("r-" + i, "/idle" + i + "/", "safe", 1200, "rendeles", 2);
        }
        store.write("op/config", configuration.next());
        record.say("the configuration has " + configuration.routes.size() + " routes and "
                + store.read("op/config").length() + " bytes");
        addDaemon("front-szeged-a-1", "szeged-a");
        Daemon remote = addDaemon("front-gyor-a-1", "gyor-a");
        remote.gate = store.new Gate("127.0.0.1");
        remote.gate.bytesPerS = LINK_BYTES_PER_S;
        if (!startDaemons(430)) {
            return NOT_RUN;
        }
        Thread.sleep(3_000);
        record.say("before: " + request(remote, "b1", WITHDRAWN_KEY));
        remote.gate.busy = trouble;
        record.say(trouble ? "the store turns " + remote.name + " away" : "no disruption");
        long returnMs = System.currentTimeMillis() + TURNED_AWAY_MS;
        while (System.currentTimeMillis() < returnMs) {
            store.write("op/config", configuration.next());
            record.line("version " + configuration.version() + " is acknowledged");
            Thread.sleep(GAP_MS);
        }
        remote.gate.busy = false;
        record.say("the store serves " + remote.name + " again");
        Thread.sleep(1_500);
        configuration.tenants.put(Configuration.TENANT, List.of(Configuration.KEY));
        store.write("op/config", configuration.next());
        long ackMs = System.currentTimeMillis();
        record.say("version " + configuration.version() + " without the key is acknowledged");
        Thread.sleep(Math.max(returnMs + CONTACT_MS, ackMs + CONFIG_APPLY_MS) + 500 - System.currentTimeMillis());
        long end = System.currentTimeMillis() + CHECK_MS;
        int sent = 0;
        while (System.currentTimeMillis() < end) {
            String attempt = "w" + ++sent;
            record.line(attempt + " with the withdrawn key: " + request(remote, attempt, WITHDRAWN_KEY));
            Thread.sleep(200);
        }
        record.say(sent + " requests with the withdrawn key were sent from "
                + (CONFIG_APPLY_MS + 500) + " ms after the acknowledgement on; " + runs + " were run");
        return runs.get() > 0 ? BROKEN : HELD;
    }

    private String request(Daemon daemon, String attempt, String key) {
        try (Client client = new Client(daemon, 0)) {
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
                    "Bearer " + key);
            Message answer = client.receive();
            if (answer != null && answer.status() == 200 && attempt.startsWith("w")) {
                runs.incrementAndGet();
            }
            return answer == null ? "no answer" : answer.start;
        } catch (IOException e) {
            return e.toString();
        }
    }
}
