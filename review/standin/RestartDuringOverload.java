import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.ThreadLocalRandom;

/** Many users come at once, so that workers reject requests; meanwhile all instances are killed once and start again. */
public final class RestartDuringOverload {
    private static final double RATIO = 0.2;
    private static final int SLACK = 56;
    private static final long WINDOW_MS = 10_000;
    private static final int INSTANCES = 4;
    private static final int WORKERS = 3;
    private static final int SLOTS = 2;
    private static final int QUEUE = 2;
    private static final long WORK_MS = 330;
    private static final double BASE_PER_S = 15;
    private static final double BURST = 2.2;
    private static final long BURST_MS = 9_000;
    private static final long KILL_AFTER_MS = 4_000;
    private static final String ROUTES = Fleet.route("status", "/status/", "safe", 1_200, 2, "desk", 2);
    private static final String SERVICES = "{\"name\":\"desk\",\"health_check_path\":\"/health\",\"max_connections\":110}";
    private static final String TENANT = "{\"name\":\"club\",\"api_keys\":[\"key-1\"]}";

    private RestartDuringOverload() {}

    public static void main(String[] arguments) {
        Fleet.run(arguments, RestartDuringOverload::play);
    }

    private static Client.Answer send(Fleet fleet, int instance) {
        return Client.send(
                fleet.record,
                fleet.instances.get(instance).callersPort,
                "GET",
                "/status/run",
                Map.of("Host", "review.example", "X-Deadline-Ms", "2500", "Authorization", "Bearer key-1"),
                new byte[0],
                3_000);
    }

    /** Sends a request, and once more to another instance if it fails, when the answer says so. */
    private static void call(Fleet fleet, Queue<Client.Answer> answers) {
        int instance = ThreadLocalRandom.current().nextInt(INSTANCES);
        Client.Answer answer = send(fleet, instance);
        answers.add(answer);
        if (answer.status() != 200) {
            Threads.sleepMs((long) (1_000 * Double.parseDouble(answer.headers().getOrDefault("retry-after", "0.8"))));
            answers.add(send(fleet, (instance + 1) % INSTANCES));
        }
    }

    private static int play(Record record, Fleet fleet) throws Exception {
        fleet.configure(7, ROUTES, SERVICES, TENANT);
        for (int i = 1; i <= WORKERS; i++) {
            fleet.addWorker("w-" + i, "desk", WORK_MS).limit(SLOTS, QUEUE);
        }
        if (!fleet.startInstances(INSTANCES, fleet.store.address().getPort())) {
            return 2;
        }
        Threads.sleepMs(4_000);
        Queue<Client.Answer> answers = new ConcurrentLinkedQueue<>();
        ScheduledExecutorService clients = Executors.newScheduledThreadPool(200, task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        clients.scheduleAtFixedRate(
                () -> clients.execute(() -> call(fleet, answers)), 0, (long) (1e6 / BASE_PER_S), TimeUnit.MICROSECONDS);
        Threads.sleepMs(11_000);
        if (Fleet.trouble()) {
            var more = clients.scheduleAtFixedRate(
                    () -> clients.execute(() -> call(fleet, answers)),
                    0,
                    (long) (1e6 / (BASE_PER_S * (BURST - 1))),
                    TimeUnit.MICROSECONDS);
            record.line("%.1f times as many users come, for %d ms", BURST, BURST_MS);
            Threads.sleepMs(KILL_AFTER_MS);
            fleet.instances.forEach(Instance::close);
            record.line("all instances were killed");
            for (Instance each : fleet.instances) {
                each.start();
            }
            Threads.sleepMs(BURST_MS - KILL_AFTER_MS);
            more.cancel(false);
            record.line("the burst has ended");
        } else {
            Threads.sleepMs(BURST_MS);
        }
        Threads.sleepMs(3_000);
        return judge(record, fleet, List.copyOf(answers));
    }

    private static int judge(Record record, Fleet fleet, List<Client.Answer> answers) {
        fleet.recordRequests(answers);
        Map<String, List<Long>> arrivals = new HashMap<>();
        for (Worker worker : fleet.workers) {
            worker.arrivals().forEach(
                    (id, times) -> arrivals.computeIfAbsent(id, key -> new ArrayList<>()).addAll(times));
        }
        List<Long> repeats = new ArrayList<>();
        for (List<Long> times : arrivals.values()) {
            times.stream().sorted().skip(1).forEach(repeats::add);
        }
        double worst = Double.NEGATIVE_INFINITY;
        String text = "no repeats";
        for (long end : repeats) {
            long inWindow = repeats.stream().filter(at -> at > end - WINDOW_MS && at <= end).count();
            long requests = Math.max(
                    requests(answers, end),
                    Math.max(requests(answers, end - WINDOW_MS / 2), requests(answers, end - WINDOW_MS)));
            double allowed = RATIO * requests + SLACK;
            if (inWindow - allowed > worst) {
                worst = inWindow - allowed;
                text = String.format(
                        "in the 10 s up to %.3f: %d arrivals beyond the first, allowed are 0.2 x %d + 56 = %.1f",
                        end / 1e3, inWindow, requests, allowed);
            }
        }
        record.line("%s%s", worst > 0 ? "BROKEN BUDGET: " : "", text);
        long served = answers.stream().filter(each -> each.status() == 200).count();
        record.line("%d requests, %d answered 200", answers.size(), served);
        return served == 0 ? 2 : worst > 0 ? 1 : 0;
    }

    private static long requests(List<Client.Answer> answers, long end) {
        return answers.stream()
                .filter(each -> each.sentMs() > end - WINDOW_MS && each.sentMs() <= end)
                .count();
    }
}
