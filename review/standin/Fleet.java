import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrybend.platform.standin.StandInStore;

/** What the cases share: the platform's store with its operator and workers, and the instances. */
final class Fleet implements AutoCloseable {
    static final long CONTACT_MS = 4_000;
    static final long HEARTBEAT_MS = 1_200;

    final Record record;
    final StandInStore store;
    final List<Worker> workers = new ArrayList<>();
    final List<Instance> instances = new ArrayList<>();
    final Path directory;
    private final Map<String, String> states = new ConcurrentHashMap<>();
    private final Map<String, byte[]> foreignEntries = new ConcurrentHashMap<>();
    private final long bornMs = System.currentTimeMillis();
    private volatile boolean heartbeats = true;
    private volatile boolean closed;
    private long sequence;

    Fleet(Record record) throws IOException {
        this.record = record;
        this.directory = Files.createTempDirectory("review");
        this.store = new StandInStore((path, holder, number, body) -> {});
        Threads.daemon(this::beat);
    }

    /** What a case does between its start and its end; returns the exit status. */
    interface Play {
        int play(Record record, Fleet fleet) throws Exception;
    }

    /** Time after which a case that hangs is ended. */
    private static final long LIMIT_MS = 110_000;

    /** Runs a case, whose record is the file named by the only argument, and exits with its status. */
    static void run(String[] arguments, Play play) {
        int status = 2;
        Threads.daemon(() -> {
            Threads.sleepMs(LIMIT_MS);
            System.exit(2);
        });
        try (Record record = new Record(Path.of(arguments[0]))) {
            record.line("disruption: %s", trouble() ? "yes" : "no");
            try (Fleet fleet = new Fleet(record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> fleet.instances.forEach(Instance::close)));
                status = play.play(record, fleet);
            } catch (Exception e) {
                record.line("could not run: %s", e);
                status = 2;
            }
            record.line("exit %d", status);
        } catch (IOException e) {
            System.err.println("no record: " + e);
        }
        System.exit(status);
    }

    /** Tells whether the disruption of the case is to be made. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    private void beat() {
        while (!closed) {
            Threads.sleepMs(HEARTBEAT_MS);
            if (heartbeats) {
                writeEntries();
            }
        }
    }

    /** Stops or resumes the heartbeats of the workers, which the store does not take while it is down. */
    void setHeartbeats(boolean running) {
        heartbeats = running;
    }

    synchronized void writeEntries() {
        sequence++;
        for (Worker worker : workers) {
            writeEntry(worker);
        }
        foreignEntries.forEach((id, entry) -> store.put("servers/" + id, entry));
    }

    /** Lists a worker of another process, and goes on to write its entry as its heartbeat. */
    synchronized void addForeignWorker(String id, String service, int port) {
        String entry = "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\",\"cold_remaining_ms\":0,"
                + "\"born\":" + bornMs + ",\"sequence\":1}";
        foreignEntries.put(id, entry.getBytes(StandardCharsets.UTF_8));
        store.put("servers/" + id, foreignEntries.get(id));
    }

    /** A worker of another process has crashed: its entry is removed after three heartbeat intervals. */
    void stopHeartbeat(String id) {
        foreignEntries.remove(id);
        Threads.daemon(() -> {
            Threads.sleepMs(3 * HEARTBEAT_MS);
            store.delete("servers/" + id);
        });
    }

    /** Writes the entry of one worker. */
    synchronized void writeEntry(String id) {
        sequence++;
        workers.stream().filter(worker -> worker.id.equals(id)).forEach(this::writeEntry);
    }

    private void writeEntry(Worker worker) {
        String state = states.get(worker.id);
        store.put("servers/" + worker.id, worker.entry("z1", state, bornMs, 128, sequence));
    }

    /** Adds a worker and lists it as ready. */
    synchronized Worker addWorker(String id, String service, long workMs) throws IOException {
        Worker worker = new Worker(id, service, workMs, record);
        states.put(id, "ready");
        workers.add(worker);
        writeEntry(worker);
        return worker;
    }

    /** Writes that a worker leaves; returns the time of the acknowledgement. */
    synchronized long drain(Worker worker) {
        states.put(worker.id, "draining");
        writeEntry(worker);
        long atMs = record.nowMs();
        record.line("store acknowledges that worker %s is draining", worker.id);
        return atMs;
    }

    /** Writes a configuration as the operator; returns the time of the acknowledgement. */
    long configure(int version, String routes, String services, String tenants) {
        String text = "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[" + tenants + "]}";
        store.put("op/config", text.getBytes(StandardCharsets.UTF_8));
        long atMs = record.nowMs();
        record.line("store acknowledges configuration %d", version);
        return atMs;
    }

    static String route(String name, String prefix, String type, int timeoutMs, int priority, String service, int attempts) {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"host\":\"review.example\",\"prefix\":\"%s\",\"route_type\":\"%s\","
                        + "\"timeout_ms\":%d,\"target_latency_ms\":500,\"priority\":%d,\"service\":\"%s\","
                        + "\"max_attempts\":%d,\"allow_anonymous\":false}",
                name,
                prefix,
                type,
                timeoutMs,
                priority,
                service,
                attempts);
    }

    /** Starts instances in one zone and waits until they are ready and know each other. */
    boolean startInstances(int count, int storePort) throws IOException {
        for (int i = 1; i <= count; i++) {
            instances.add(new Instance("front-z1-" + i, directory, record));
        }
        List<Integer> seeds = new ArrayList<>();
        instances.forEach(each -> seeds.add(each.controlPort));
        for (Instance each : instances) {
            each.writeSettings("z1", "r1", storePort, store.address().getPort(), seeds);
            each.start();
        }
        for (Instance each : instances) {
            if (!each.awaitReady(20_000)) {
                record.line("instance %s is not ready", each.name);
                return false;
            }
        }
        return true;
    }

    /** Writes to the record what was sent, answered and run; times are those of the events. */
    void recordRequests(Collection<Client.Answer> answers) {
        Map<String, String> runs = new HashMap<>();
        for (Worker worker : workers) {
            for (Worker.Run run : worker.runs()) {
                String text = String.format(Locale.ROOT, " run by %s at %.3f", worker.id, run.atMs() / 1e3);
                runs.merge(run.attemptId(), text, String::concat);
            }
        }
        for (Client.Answer each : answers) {
            String instance = instances.stream()
                    .filter(candidate -> candidate.callersPort == each.port())
                    .map(candidate -> candidate.name)
                    .findFirst()
                    .orElse("?");
            record.line(
                    "request %s %s sent to %s at %.3f, answered %s at %.3f%s",
                    each.attemptId(),
                    each.path(),
                    instance,
                    each.sentMs() / 1e3,
                    each.status() == 0 ? each.headers().get("failure") : each.status(),
                    each.endMs() / 1e3,
                    runs.getOrDefault(each.attemptId(), ""));
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        instances.forEach(Instance::close);
        workers.forEach(Worker::close);
        store.close();
        if (System.getenv("KEEP_LOGS") != null) {
            record.line("logs in %s", directory);
            return;
        }
        try (var files = Files.list(directory)) {
            for (Path file : (Iterable<Path>) files::iterator) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }
}
