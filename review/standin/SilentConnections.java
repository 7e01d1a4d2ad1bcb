import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The open connections between the instances and the store go silent once, while new ones work. Just after that, the
 * operator takes a key away and a worker says that it leaves. A change of the configuration shortly before, which
 * alters nothing, only makes the runs alike: it ends the watches that wait.
 */
public final class SilentConnections {
    private static final long APPLY_MS = 2_500;
    private static final long DRAIN_MS = 2_500;
    private static final String ROUTES = Fleet.route("status", "/status/", "safe", 1_200, 2, "desk", 2);
    private static final String SERVICES = "{\"name\":\"desk\",\"health_check_path\":\"/health\",\"max_connections\":110}";

    private record Sent(Client.Answer answer, String key, String instance) {}

    private SilentConnections() {}

    private static String tenant(String keys) {
        return "{\"name\":\"club\",\"api_keys\":[" + keys + "]}";
    }

    private static void call(Fleet fleet, Instance instance, String key, Queue<Sent> sent) {
        while (true) {
            Client.Answer answer = Client.send(
                    fleet.record,
                    instance.callersPort,
                    "GET",
                    "/status/run",
                    Map.of("Host", "review.example", "X-Deadline-Ms", "2500", "Authorization", "Bearer " + key),
                    new byte[0],
                    3_000);
            sent.add(new Sent(answer, key, instance.name));
            Threads.sleepMs(50);
        }
    }

    public static void main(String[] arguments) {
        Fleet.run(arguments, (record, fleet) -> {
            try (SilencingProxy proxy = new SilencingProxy(fleet.store.address())) {
                return play(record, fleet, proxy);
            }
        });
    }

    private static int play(Record record, Fleet fleet, SilencingProxy proxy) throws Exception {
        fleet.configure(7, ROUTES, SERVICES, tenant("\"key-kept\",\"key-taken\""));
        Worker leaving = fleet.addWorker("w-1", "desk", 20);
        fleet.addWorker("w-2", "desk", 20);
        if (!fleet.startInstances(2, proxy.port())) {
            return 2;
        }
        Threads.sleepMs(6_000);
        Queue<Sent> sent = new ConcurrentLinkedQueue<>();
        for (Instance each : fleet.instances) {
            Threads.daemon(() -> call(fleet, each, "key-kept", sent));
            Threads.daemon(() -> call(fleet, each, "key-taken", sent));
        }
        Threads.sleepMs(2_000);
        fleet.configure(8, ROUTES, SERVICES, tenant("\"key-kept\",\"key-taken\""));
        Threads.sleepMs(300);
        long silentAtMs = record.nowMs();
        if (Fleet.trouble()) {
            record.line("%d open connections to the store go silent", proxy.silenceOpenConnections());
        }
        Threads.sleepMs(300);
        long configuredAtMs = fleet.configure(9, ROUTES, SERVICES, tenant("\"key-kept\""));
        long drainingAtMs = fleet.drain(leaving);
        Threads.sleepMs(9_000);

        fleet.recordRequests(sent.stream().map(Sent::answer).toList());
        // Machines are in touch again once contact_ms have passed since their connections failed.
        long inTouchMs = silentAtMs + Fleet.CONTACT_MS;
        long late = 0;
        long refused = 0;
        long served = 0;
        for (Sent each : List.copyOf(sent)) {
            Client.Answer answer = each.answer();
            long runs = fleet.workers.stream()
                    .flatMap(worker -> worker.runs().stream())
                    .filter(run -> run.attemptId().equals(answer.attemptId()))
                    .count();
            served += answer.status() == 200 ? 1 : 0;
            if (each.key().equals("key-taken") && answer.sentMs() > configuredAtMs + APPLY_MS) {
                refused += answer.status() == 401 ? 1 : 0;
                if (runs > 0 && answer.sentMs() > inTouchMs) {
                    late++;
                    record.line(
                            "BROKEN CONFIG: %s sent to %s at %.3f with the key taken away at %.3f, in touch since %.3f:"
                                    + " status %d, run",
                            answer.attemptId(),
                            each.instance(),
                            answer.sentMs() / 1e3,
                            configuredAtMs / 1e3,
                            inTouchMs / 1e3,
                            answer.status());
                }
            }
        }
        long toLeaving = 0;
        for (Worker.Run run : leaving.runs()) {
            if (run.atMs() > Math.max(inTouchMs, drainingAtMs + DRAIN_MS)) {
                toLeaving++;
                record.line(
                        "BROKEN DRAIN: %s reaches %s at %.3f, draining since %.3f",
                        run.attemptId(), leaving.id, run.atMs() / 1e3, drainingAtMs / 1e3);
            }
        }
        record.line(
                "%d requests, %d answered 200; with the key taken away and later than config_apply_ms: %d refused with"
                        + " 401, %d run by machines in touch; %d reached the leaving worker too late",
                sent.size(), served, refused, late, toLeaving);
        if (served == 0 || refused == 0) {
            return 2;
        }
        return late + toLeaving > 0 ? 1 : 0;
    }
}
