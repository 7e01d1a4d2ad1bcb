package org.cranberrybend.integration.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;

/** The operating system's processes of a fleet. Every process started here is ended by {@link #close()}. */
final class FleetProcesses implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    // Below the range from which common systems choose ports of outgoing connections, which could take one meanwhile.
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static final long STOP_WAIT_S = 20;
    private static final Map<String, String> MAINS = Map.of(
            "platform", "org.cranberrybend.standins.platform.PlatformMain",
            "engine", "org.cranberrybend.standins.engine.EngineMain",
            "service", "org.cranberrybend.standins.service.ServiceMain",
            "router", "org.cranberrybend.router.RouterMain",
            "controller", "org.cranberrybend.controller.ControllerMain");

    private final Path directory;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Thread endOnExit = new Thread(this::endAll, "end-fleet");

    FleetProcesses(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
        Runtime.getRuntime().addShutdownHook(endOnExit);
    }

    /** Returns free ports of the loopback address. */
    static Deque<Integer> freePorts(int count) {
        Deque<Integer> ports = new ArrayDeque<>();
        while (ports.size() < count) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                if (!ports.contains(socket.getLocalPort())) {
                    ports.add(port);
                }
            } catch (IOException ignored) {
                // In use; the next attempt takes another one.
            }
        }
        return ports;
    }

    void start(FleetMember member, Map<String, Object> settings) throws IOException {
        Path file = directory.resolve(member.name() + ".json");
        Files.writeString(file, CanonicalJson.write(settings));
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-Xss512k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                MAINS.get(member.role()),
                "--config",
                file.toString()));
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve(member.name() + ".log").toFile())
                .start();
        processes.put(member.name(), process);
    }

    boolean isRunning(String name) {
        return processes.get(name).isAlive();
    }

    /** Ends a process without notice. */
    void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor();
    }

    /** Sends a signal to a process: TERM, STOP or CONT. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        long pid = processes.get(name).pid();
        int code = new ProcessBuilder("kill", "-" + signal, String.valueOf(pid))
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("kill -" + signal + " " + pid + " ended with code " + code);
        }
    }

    /** Waits until a process has ended on its own; returns false if it runs on. */
    boolean awaitEnd(String name) throws InterruptedException {
        return processes.get(name).waitFor(STOP_WAIT_S, TimeUnit.SECONDS);
    }

    private void endAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws InterruptedException {
        endAll();
        for (Process each : processes.values()) {
            each.waitFor();
        }
        Runtime.getRuntime().removeShutdownHook(endOnExit);
    }
}
