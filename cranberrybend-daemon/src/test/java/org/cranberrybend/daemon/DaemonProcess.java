package org.cranberrybend.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.platform.standin.FreePorts;
import org.cranberrybend.platform.standin.StandInConfiguration;
import org.cranberrybend.platform.standin.StandInHeaders;
import org.cranberrybend.platform.standin.StandInStore;
import org.cranberrybend.platform.standin.StandInUpstream;

/**
 * One entry instance as a process, with the JVM options of the deploy file except for the heap and the class archive,
 * and with a store and an upstream as stand-ins.
 */
final class DaemonProcess implements AutoCloseable {
    /** Memory of the machine in the test's settings; the resident memory of the process must stay below it. */
    static final int MEMORY_MB = 192;
    /** Descriptors that the process may open. */
    static final int MAX_DESCRIPTORS = 256;

    /** Option for the heap of the tests of untrusted callers. */
    static final String HEAP = "-Xmx48m";

    private static final int MAX_SHOWN_LINES = 30;
    private static final int PORT_COUNT = 4;
    private static final int CALLERS = 0;
    private static final int READINESS = 1;
    private static final long HEARTBEAT_MS = 500;
    /** A request that has no answer after this time has failed; long, because other load may slow down the machine. */
    private static final long ANSWER_LIMIT_MS = 60_000;

    private static final int ATTEMPT_LIMIT_MS = 5_000;
    private static final long RETRY_INTERVAL_NS = 50_000_000;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final StandInStore store = new StandInStore((path, holder, number, body) -> {});
    private final StandInUpstream upstream =
            new StandInUpstream("up-1", "desk", "z", 64, (stand, attempt, headers, run) -> {});
    private final List<Integer> ports = FreePorts.find(PORT_COUNT);
    private final Path log;
    private final Process process;
    private int requests;

    DaemonProcess(Path directory, String heap) throws IOException {
        writeConfiguration();
        timer.scheduleAtFixedRate(this::writeHeartbeat, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        Path settings = directory.resolve("settings.json");
        Files.write(settings, Json.write(settings()));
        log = directory.resolve("log");
        ProcessBuilder builder = new ProcessBuilder(command(heap));
        builder.environment().put("CRANBERRYBEND_NODE_FILE", settings.toString());
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    private void writeConfiguration() {
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("version", 1);
        configuration.put(
                "routes",
                List.of(StandInConfiguration.route("ordinary", "/ordinary/", "idempotent", false, "desk", 5_000)));
        configuration.putAll(StandInConfiguration.servicesAndAccounts(List.of("desk"), Map.of("account", "key-1")));
        store.put(StandInConfiguration.KEY, Json.write(configuration));
    }

    private void writeHeartbeat() {
        store.put(upstream.key(), upstream.entry(upstream.address().getPort(), false));
    }

    private Map<String, Object> settings() {
        List<String> names = List.of("callers", "readiness", "control", "metrics");
        Map<String, Object> listen = new LinkedHashMap<>();
        for (int i = 0; i < PORT_COUNT; i++) {
            listen.put(names.get(i), "127.0.0.1:" + ports.get(i));
        }
        String platform = "127.0.0.1:" + store.address().getPort();
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("instance", "entry-1");
        settings.put("availability_zone", "z");
        settings.put("region", "r");
        settings.put("regions_by_zone", Map.of("z", "r"));
        settings.put("listen", listen);
        settings.put("seeds", List.of());
        settings.put("store", Map.of("address", platform));
        settings.put("duties", Map.of("address", platform, "names", List.of()));
        settings.put("memory_mb", MEMORY_MB);
        settings.put("max_fds", MAX_DESCRIPTORS);
        settings.put("shutdown_limit_s", 8);
        settings.put("retry_budget", Map.of("ratio", 0.2, "allowance", 50));
        settings.put("lease_ms", 3_000);
        settings.put("usage", Map.of("window_s", 5, "due_s", 10));
        return settings;
    }

    private static List<String> command(String heap) throws IOException {
        Path deployFile = Path.of(System.getProperty("cranberrybend.root")).resolve("deploy/system.toml");
        Matcher run = Pattern.compile("(?m)^run = \"java (.*) -jar .*\"$").matcher(Files.readString(deployFile));
        if (!run.find()) {
            throw new IOException("no command in deploy/system.toml");
        }
        List<String> command = new ArrayList<>(List.of(
                "bash",
                "-c",
                "ulimit -n " + MAX_DESCRIPTORS + "; exec \"$@\"",
                "bash",
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        for (String option : run.group(1).split(" ")) {
            if (!option.startsWith("-Xm") && !option.startsWith("-XX:SharedArchiveFile")) {
                command.add(option);
            }
        }
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        command.addAll(List.of(heap, "-cp", classPath, EntryDaemon.class.getName()));
        return command;
    }

    List<Integer> callerPorts() {
        return ports.subList(CALLERS, CALLERS + 1);
    }

    /** Returns the ports of readiness, control and metrics. */
    List<Integer> internalPorts() {
        return ports.subList(CALLERS + 1, PORT_COUNT);
    }

    boolean isRunning() {
        return process.isAlive();
    }

    /** Returns the last lines of the log. */
    String logEnd() throws IOException {
        List<String> lines = Files.readAllLines(log);
        return String.join("\n", lines.subList(Math.max(0, lines.size() - MAX_SHOWN_LINES), lines.size()));
    }

    /** Returns the largest resident memory so far, in MB; 0 if the process has ended. */
    int peakMemoryMb() {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + process.pid() + "/status"))) {
            return lines.filter(line -> line.startsWith("VmHWM:"))
                    .mapToInt(line -> Integer.parseInt(line.replaceAll("\\D", "")) / 1_024)
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns the number of open descriptors; 0 if the process has ended. */
    int descriptors() {
        String[] open = Path.of("/proc/" + process.pid() + "/fd").toFile().list();
        return open == null ? 0 : open.length;
    }

    /** Waits until the readiness probe succeeds; returns whether it did. */
    boolean awaitReady() {
        return awaitAnswer(READINESS, "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    }

    /** Sends ordinary requests until one is answered with 200 by the upstream; returns whether one was. */
    boolean awaitOrdinaryAnswer() {
        StringBuilder head = new StringBuilder("POST /ordinary/x HTTP/1.1\r\nHost: soak.example\r\n");
        StandInHeaders.ofCaller("request-" + ++requests, "key-1", ATTEMPT_LIMIT_MS)
                .forEach((name, value) ->
                        head.append(name).append(": ").append(value).append("\r\n"));
        return awaitAnswer(CALLERS, head + "Content-Length: 5\r\nConnection: close\r\n\r\norder");
    }

    private boolean awaitAnswer(int port, String request) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ANSWER_LIMIT_MS);
        while (isRunning() && System.nanoTime() < endNs) {
            if (isAnswered(ports.get(port), request)) {
                return true;
            }
            LockSupport.parkNanos(RETRY_INTERVAL_NS);
        }
        return false;
    }

    private static boolean isAnswered(int port, String request) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), ATTEMPT_LIMIT_MS);
            socket.setSoTimeout(ATTEMPT_LIMIT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] response = socket.getInputStream().readAllBytes();
            return new String(response, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200 ");
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
        timer.shutdownNow();
        upstream.close();
        store.close();
    }
}
