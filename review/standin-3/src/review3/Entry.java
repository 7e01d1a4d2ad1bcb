package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cranberrybend.entry.json.Json;

/** An entry instance, started with the command of the deploy file and settings like those of its template. */
final class Entry implements AutoCloseable {
    static final String REGION = "west";
    static final String ZONE = "west-a";

    final String name;
    final int callerPort;
    final int readinessPort;
    private final Path root;
    private final Path directory;
    private final Map<String, Object> settings;
    private Process process;

    private Entry(
            String name,
            Path root,
            Path directory,
            Map<String, Object> settings,
            int callerPort,
            int readinessPort) {
        this.name = name;
        this.settings = settings;
        this.root = root;
        this.directory = directory;
        this.callerPort = callerPort;
        this.readinessPort = readinessPort;
    }

    /** Creates instances that know each other as seeds, but does not start them. */
    static List<Entry> create(int count, Path root, Path directory, int storePort) throws IOException {
        List<Integer> ports = freePorts(4 * count);
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, count); i++) {
            seeds.add("127.0.0.1:" + ports.get(4 * i + 2));
        }
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String name = "front-" + ZONE + "-" + (i + 1);
            Map<String, Object> listen = new LinkedHashMap<>();
            listen.put("callers", "127.0.0.1:" + ports.get(4 * i));
            listen.put("readiness", "127.0.0.1:" + ports.get(4 * i + 1));
            listen.put("control", "127.0.0.1:" + ports.get(4 * i + 2));
            listen.put("metrics", "127.0.0.1:" + ports.get(4 * i + 3));
            Map<String, Object> settings = new LinkedHashMap<>();
            settings.put("instance", name);
            settings.put("availability_zone", ZONE);
            settings.put("region", REGION);
            settings.put("regions_by_zone", Map.of(ZONE, REGION));
            settings.put("address", "127.0.0.1");
            settings.put("first_start", true);
            settings.put("listen", listen);
            settings.put("seeds", seeds);
            settings.put("store", Map.of("address", "127.0.0.1:" + storePort));
            settings.put(
                    "duties",
                    Map.of("address", "127.0.0.1:" + storePort, "names", List.of("usage_report", "autoscale")));
            settings.put("upstream_drain_ms", 2500);
            settings.put("contact_ms", 4000);
            settings.put("memory_mb", 280);
            settings.put("max_fds", 4100);
            settings.put("shutdown_limit_s", 8);
            settings.put("retry_budget", Map.of("ratio", 0.2, "allowance", 52));
            settings.put("lease_ms", 3000);
            Entry entry = new Entry(name, root, directory, settings, ports.get(4 * i), ports.get(4 * i + 1));
            entry.setUsageWindow(5);
            entries.add(entry);
        }
        return entries;
    }

    /** Sets the length of the usage windows in the settings, from the next start on. */
    void setUsageWindow(int seconds) throws IOException {
        settings.put("usage", Map.of("window_s", seconds, "due_s", 10));
        Files.write(directory.resolve(name + ".json"), Json.write(settings));
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        int next = 15_000 + (int) (ProcessHandle.current().pid() * 131 % 15_000);
        while (ports.size() < count) {
            next = next >= 31_900 ? 15_000 : next + 1;
            try (ServerSocket socket = new ServerSocket(next, 1, InetAddress.getLoopbackAddress())) {
                ports.add(socket.getLocalPort());
            } catch (IOException e) {
                // The port is in use.
            }
        }
        return ports;
    }

    /** Returns the command of the role in the deploy file. */
    private List<String> command() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no command in the deploy file");
        }
        return Arrays.asList(run.group(1).split(" +"));
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(root.toFile());
        builder.environment()
                .put("CRANBERRYBEND_NODE_FILE", directory.resolve(name + ".json").toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                directory.resolve(name + ".log").toFile()));
        process = builder.start();
    }

    long pid() {
        return process.pid();
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    int exitStatus() {
        return process.exitValue();
    }

    /** Sends a signal to the process that was started here. */
    void signal(String signal) throws IOException, InterruptedException {
        if (isRunning()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }
    }

    boolean awaitExit(long ms) throws InterruptedException {
        return process == null || process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Returns whether the instance reports that it is ready. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), readinessPort), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            byte[] head = socket.getInputStream().readNBytes(12);
            return new String(head, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws Exception {
        if (process != null) {
            signal("CONT");
            signal("KILL");
            awaitExit(5_000);
        }
    }
}
