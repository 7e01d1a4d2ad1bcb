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

/** Operating system processes of a fleet. {@link #close()} kills every process started here. */
final class FleetProcesses implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    // Below the ephemeral port range of common systems; otherwise an outgoing connection could take a port before it is
    // used here.
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static final long STOP_TIMEOUT_S = 20;
    private static final Map<String, String> MAIN_CLASSES = Map.of(
            "platform", "org.cranberrybend.standins.platform.PlatformMain",
            "engine", "org.cranberrybend.standins.engine.EngineMain",
            "service", "org.cranberrybend.standins.service.ServiceMain",
            "router", "org.cranberrybend.router.RouterMain",
            "controller", "org.cranberrybend.controller.ControllerMain");

    private final Path directory;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Thread shutdownHook = new Thread(this::killAll, "end-fleet");

    FleetProcesses(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
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
                // The port is in use; another one is tried.
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
                MAIN_CLASSES.get(member.role()),
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

    /** Kills a process and waits until it has ended. */
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

    /** Waits until a process has exited; returns false if it is still running after the time limit. */
    boolean awaitExit(String name) throws InterruptedException {
        return processes.get(name).waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws InterruptedException {
        killAll();
        for (Process each : processes.values()) {
            each.waitFor();
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
