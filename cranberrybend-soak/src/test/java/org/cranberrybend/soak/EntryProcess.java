package org.cranberrybend.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrybend.entry.json.Json;

/** An entry instance as a process. Signals go only to processes that were started here. */
final class EntryProcess implements AutoCloseable {
    private static final long EXIT_TIMEOUT_S = 10;
    private static final int PORT_COUNT = 4;
    private static final int FIRST_PORT = 15_000;
    private static final int PORT_RANGE = 15_000;
    private static final int MAX_PORT_ATTEMPTS = 100;
    /** Ports that one run may need; the first ports of runs with consecutive process ids are this far apart. */
    private static final int PORTS_PER_RUN = 128;

    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_PER_RUN % PORT_RANGE));

    private final String name;
    private final Path directory;
    private final List<String> command;
    private final int callerPort;
    private final int readinessPort;
    private Process process;
    private int incarnation;

    EntryProcess(
            String name,
            String zone,
            Map<String, String> regions,
            Path directory,
            List<String> command,
            PlatformPorts platformPorts)
            throws IOException {
        this.name = name;
        this.directory = directory;
        this.command = List.copyOf(command);
        List<Integer> ports = freePorts();
        callerPort = ports.get(0);
        readinessPort = ports.get(1);
        Map<String, Object> listen = new LinkedHashMap<>();
        List<String> names = List.of("callers", "readiness", "control", "metrics");
        for (int i = 0; i < PORT_COUNT; i++) {
            listen.put(names.get(i), "127.0.0.1:" + ports.get(i));
        }
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("instance", name);
        settings.put("availability_zone", zone);
        settings.put("region", regions.get(zone));
        settings.put("regions_by_zone", regions);
        settings.put("listen", listen);
        settings.put("seeds", List.of());
        settings.put("store", Map.of("address", "127.0.0.1:" + platformPorts.storePort()));
        settings.put(
                "duties",
                Map.of(
                        "address",
                        "127.0.0.1:" + platformPorts.dutyPort(),
                        "names",
                        List.of("usage_report", "autoscale")));
        settings.put("memory_mb", 280);
        settings.put("shutdown_limit_s", SoakBounds.SHUTDOWN_LIMIT_S);
        settings.put("retry_budget", Map.of("ratio", 0.2, "allowance", 50));
        settings.put("lease_ms", SoakBounds.LEASE_MS);
        settings.put("usage", Map.of("window_s", SoakBounds.USAGE_WINDOW_S, "due_s", 10));
        Files.write(settingsFile(), Json.write(settings));
    }

    /**
     * Ports through which an instance reaches the platform.
     *
     * @param storePort port of the proxy to the key-value store
     * @param dutyPort port of the proxy to the calls of the lease holder
     */
    record PlatformPorts(int storePort, int dutyPort) {}

    private Path settingsFile() {
        return directory.resolve(name + ".json");
    }

    /** Returns distinct free ports below the ephemeral range, so that no outgoing connection occupies one. */
    private static List<Integer> freePorts() throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int attempts = 0; ports.size() < PORT_COUNT; attempts++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORT_RANGE);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                ports.add(socket.getLocalPort());
            } catch (IOException e) {
                if (attempts > MAX_PORT_ATTEMPTS) {
                    throw e;
                }
            }
        }
        return ports;
    }

    String name() {
        return name;
    }

    int callerPort() {
        return callerPort;
    }

    int readinessPort() {
        return readinessPort;
    }

    /** Returns how often the process has been started. */
    synchronized int incarnation() {
        return incarnation;
    }

    synchronized void start() throws IOException {
        incarnation++;
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("CRANBERRYBEND_NODE_FILE", settingsFile().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                directory.resolve(name + ".log").toFile()));
        process = builder.start();
    }

    synchronized boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** Returns the exit status of the last process; -1 while it runs or before the first start. */
    synchronized int exitStatus() {
        return isRunning() || process == null ? -1 : process.exitValue();
    }

    /** Sends a signal, such as {@code TERM}, to the process if it runs. */
    synchronized void signal(String signal) {
        if (!isRunning()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the process has exited; returns whether it has. */
    boolean awaitExit(long limitMs) throws InterruptedException {
        Process current;
        synchronized (this) {
            current = process;
        }
        return current == null || current.waitFor(limitMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        try {
            signal("CONT");
            signal("KILL");
            if (!awaitExit(TimeUnit.SECONDS.toMillis(EXIT_TIMEOUT_S))) {
                throw new IOException(name + " does not end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
