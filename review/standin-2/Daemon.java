import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One entry instance, started with the command of the deploy file. */
final class Daemon {
    final String name;
    final String ip;
    final int front;
    final int ready;
    final int control;
    final Path settings;
    Process process;
    /** Address of the store as this instance sees it; null for the common one. */
    Store.Gate gate;

    private final Path root;
    private final Path directory;
    private final String zone;
    private int starts;

    Daemon(Path root, Path directory, String name, String ip, String zone) throws IOException {
        this.root = root;
        this.directory = directory;
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        front = freePort(ip);
        ready = freePort(ip);
        control = freePort(ip);
        settings = directory.resolve(name + ".json");
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new java.net.InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    /** Writes the settings as the template of the deploy file lays them out, with the bounds of a small deployment. */
    void writeSettings(Map<String, String> zones, List<Daemon> seeds, Store store, Cloud cloud, int memoryMb)
            throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("instance", name);
        all.put("availability_zone", zone);
        all.put("region", zones.get(zone));
        all.put("regions_by_zone", zones);
        all.put("address", ip);
        all.put("first_start", true);
        Map<String, Object> listen = new LinkedHashMap<>();
        listen.put("callers", ip + ":" + front);
        listen.put("readiness", ip + ":" + ready);
        listen.put("control", ip + ":" + control);
        listen.put("metrics", ip + ":" + freePort(ip));
        all.put("listen", listen);
        List<Object> addresses = new ArrayList<>();
        seeds.forEach(each -> addresses.add(each.ip + ":" + each.control));
        all.put("seeds", addresses);
        all.put("store", Map.of("address", gate == null ? store.listener.address() : gate.address()));
        all.put("duties", Map.of("address", cloud.listener.address(), "names", List.of("usage_report", "autoscale")));
        all.put("upstream_drain_ms", 2500);
        all.put("contact_ms", 4000);
        all.put("memory_mb", memoryMb);
        all.put("max_fds", 4100);
        all.put("shutdown_limit_s", 8);
        all.put("retry_budget", Map.of("ratio", 0.2, "allowance", 52));
        all.put("slow_start", new LinkedHashMap<>());
        all.put("lease_ms", 3000);
        all.put("usage", Map.of("window_s", 5, "due_s", 10));
        Files.writeString(settings, Json.write(all));
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'))
                        .split(" ")));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("CRANBERRYBEND_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(directory.resolve(name + "." + ++starts + ".log").toFile());
        process = builder.start();
    }

    /** Waits until the readiness probe is answered with 200. */
    boolean awaitReady(long limitMs) throws InterruptedException {
        long end = System.currentTimeMillis() + limitMs;
        while (System.currentTimeMillis() < end && process.isAlive()) {
            try (Socket socket = new Socket(ip, ready)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write(Message.format("GET /-/ready HTTP/1.1", new byte[0], "Host", "x"));
                Message head = Message.head(socket.getInputStream());
                if (head != null && head.status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            Thread.sleep(50);
        }
        return false;
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/bash", "-c", "kill -" + name + " " + process.pid())
                .start()
                .waitFor();
    }

    void end() {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
