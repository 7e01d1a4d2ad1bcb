import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** One of three model workers, whose streams end with their connection, crashes in the middle of its streams. */
public final class CrashOfAnEngine {
    private static final String ROUTES = Fleet.route("fineprint", "/fine/", "streaming", 5_000, 1, "llm", 1);
    private static final String SERVICES = "{\"name\":\"llm\",\"health_check_path\":\"/health\",\"max_connections\":620}";
    private static final String TENANT = "{\"name\":\"club\",\"api_keys\":[\"key-1\"]}";
    private static final int ENGINES = 3;

    private static final class Engine {
        private final String id;
        private final Process process;
        private final int port;

        Engine(String id, Record record) throws IOException {
            this.id = id;
            process = new ProcessBuilder(
                            "java", "-Xmx64m", "-cp", System.getProperty("java.class.path"), "UnframedEngine", id)
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start();
            BufferedReader out =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
            port = Integer.parseInt(out.readLine().substring("port ".length()));
            Threads.daemon(() -> recordOutput(out, record));
        }

        private void recordOutput(BufferedReader out, Record record) {
            try {
                String line = out.readLine();
                while (line != null) {
                    record.line("engine %s: %s", id, line);
                    line = out.readLine();
                }
            } catch (IOException e) {
                // The process has ended.
            }
        }
    }

    private CrashOfAnEngine() {}

    public static void main(String[] arguments) {
        Fleet.run(arguments, CrashOfAnEngine::play);
    }

    private static void call(Fleet fleet, Instance instance, Queue<Client.Answer> answers) {
        while (true) {
            answers.add(Client.send(
                    fleet.record,
                    instance.callersPort,
                    "POST",
                    "/fine/print",
                    Map.of("Host", "review.example", "X-Deadline-Ms", "5000", "Authorization", "Bearer key-1"),
                    "terms".getBytes(StandardCharsets.UTF_8),
                    6_000));
        }
    }

    private static int play(Record record, Fleet fleet) throws Exception {
        List<Engine> engines = new ArrayList<>();
        try {
            fleet.configure(7, ROUTES, SERVICES, TENANT);
            for (int i = 1; i <= ENGINES; i++) {
                Engine engine = new Engine("w-" + i, record);
                engines.add(engine);
                fleet.addForeignWorker(engine.id, "llm", engine.port);
            }
            if (!fleet.startInstances(2, fleet.store.address().getPort())) {
                return 2;
            }
            return judge(record, fleet, engines);
        } finally {
            engines.forEach(engine -> engine.process.destroyForcibly());
        }
    }

    private static int judge(Record record, Fleet fleet, List<Engine> engines) throws Exception {
        Queue<Client.Answer> answers = new ConcurrentLinkedQueue<>();
        for (Instance each : fleet.instances) {
            for (int i = 0; i < 4; i++) {
                Threads.daemon(() -> call(fleet, each, answers));
            }
        }
        Threads.sleepMs(5_000);
        if (Fleet.trouble()) {
            engines.get(0).process.destroyForcibly().waitFor();
            record.line("engine %s has crashed (SIGKILL)", engines.get(0).id);
            fleet.stopHeartbeat(engines.get(0).id);
        }
        Threads.sleepMs(8_000);
        fleet.recordRequests(List.copyOf(answers));
        int broken = 0;
        int whole = 0;
        int failed = 0;
        for (Client.Answer answer : List.copyOf(answers)) {
            int events = new String(answer.body(), StandardCharsets.UTF_8).split("\n\n").length;
            if (answer.status() == 200 && events < UnframedEngine.EVENTS) {
                broken++;
                record.line(
                        "BROKEN ORDER: %s ends as complete with status 200 after %d of %d events, at %.3f",
                        answer.attemptId(), events, UnframedEngine.EVENTS, answer.endMs() / 1e3);
            } else if (answer.status() == 200) {
                whole++;
            } else {
                failed++;
            }
        }
        record.line("%d streams whole, %d cut that look complete, %d that failed visibly", whole, broken, failed);
        if (whole == 0) {
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }
}
