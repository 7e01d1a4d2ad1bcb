import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One instance of the project's program, started with the command of the deploy file. */
final class Instance implements AutoCloseable {
    private static final Set<Integer> CHOSEN = ConcurrentHashMap.newKeySet();

    final String name;
    final int callersPort = freePort();
    final int readinessPort = freePort();
    final int controlPort = freePort();
    private final Path directory;
    private final Record record;
    private Process process;

    Instance(String name, Path directory, Record record) throws IOException {
        this.name = name;
        this.directory = directory;
        this.record = record;
    }

    static int freePort() throws IOException {
        // Below the ports of outgoing connections, which could take a port between its choice and the start.
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            if (!CHOSEN.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use; the next one is tried.
            }
        }
    }

    /** Writes the settings: the fields of deploy/settings.json.template, with the bounds of the site jegyhid. */
    void writeSettings(String zone, String region, int storePort, int dutyPort, List<Integer> seedPorts)
            throws IOException {
        StringBuilder seeds = new StringBuilder();
        for (int port : seedPorts) {
            seeds.append(seeds.length() == 0 ? "" : ",").append("\"127.0.0.1:" + port + "\"");
        }
        String text = "{\"instance\":\"" + name + "\",\"availability_zone\":\"" + zone + "\",\"region\":\"" + region
                + "\",\"regions_by_zone\":{\"" + zone + "\":\"" + region + "\"},\"address\":\"127.0.0.1\","
                + "\"first_start\":true,\"listen\":{\"callers\":\"127.0.0.1:" + callersPort
                + "\",\"readiness\":\"127.0.0.1:" + readinessPort + "\",\"control\":\"127.0.0.1:" + controlPort
                + "\",\"metrics\":\"127.0.0.1:" + freePort() + "\"},\"seeds\":[" + seeds
                + "],\"store\":{\"address\":\"127.0.0.1:" + storePort + "\"},\"duties\":{\"address\":\"127.0.0.1:"
                + dutyPort + "\",\"names\":[\"usage_report\",\"autoscale\"]},\"upstream_drain_ms\":2500,"
                + "\"memory_mb\":430,\"shutdown_limit_s\":8,\"retry_budget\":{\"ratio\":0.2,\"allowance\":56},"
                + "\"lease_ms\":3000,\"usage\":{\"window_s\":5,\"due_s\":10}}";
        Files.writeString(settings(), text, StandardCharsets.UTF_8);
    }

    private Path settings() {
        return directory.resolve(name + ".json");
    }

    /** Returns the words of the command in the deploy file. */
    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in deploy/system.toml");
        }
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        Map<String, String> environment = builder.environment();
        environment.put("CRANBERRYBEND_NODE_FILE", settings().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                directory.resolve(name + ".log").toFile()));
        process = builder.start();
        record.line("instance %s starts", name);
    }

    long pid() {
        return process.pid();
    }

    Process process() {
        return process;
    }

    /** Waits until the instance says that it is ready; returns whether it did in time. */
    boolean awaitReady(long timeoutMs) {
        long endMs = record.nowMs() + timeoutMs;
        while (record.nowMs() < endMs) {
            if (isReady()) {
                record.line("instance %s is ready", name);
                return true;
            }
            Threads.sleepMs(100);
        }
        return false;
    }

    boolean isReady() {
        return Client.send(record, readinessPort, "GET", "/-/ready", Map.of(), new byte[0], 1_000).status() == 200;
    }

    /** Sends a signal by name to the process that this case started. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("bash", "-c", "kill -" + signal + " " + process.pid())
                .start()
                .waitFor();
        record.line("instance %s gets SIG%s", name, signal);
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
