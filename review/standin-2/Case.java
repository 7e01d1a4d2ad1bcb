import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A case: starts the entry instances and the stand-ins, and judges what clients, workers and the platform have seen. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    /** A case that has not ended by then has not run. */
    private static final long LIMIT_MS = 116_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of("").toAbsolutePath();
    final Map<String, String> zones = new LinkedHashMap<>();
    final List<Daemon> daemons = new ArrayList<>();
    final Configuration configuration = new Configuration();
    Path directory;
    Record record;
    Store store;
    Cloud cloud;

    /** Plays the case; returns an exit status. */
    abstract int play() throws Exception;

    /** Adds an entry instance on a loopback address of its own. */
    Daemon addDaemon(String name, String zone) throws Exception {
        Daemon daemon = new Daemon(root, directory, name, "127.0.0." + (11 + daemons.size()), zone);
        daemons.add(daemon);
        return daemon;
    }

    /** Starts all instances and waits until they are ready. */
    boolean startDaemons(int memoryMb) throws Exception {
        for (Daemon each : daemons) {
            each.writeSettings(zones, daemons, store, cloud, memoryMb);
            each.start();
        }
        for (Daemon each : daemons) {
            if (!each.awaitReady(20_000)) {
                record.say(each.name + " did not become ready");
                return false;
            }
        }
        return true;
    }

    static void main(Case each, String folder) {
        int status = NOT_RUN;
        Thread cleanUp = new Thread(() -> each.daemons.forEach(Daemon::end));
        Runtime.getRuntime().addShutdownHook(cleanUp);
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MS);
            } catch (InterruptedException e) {
                return;
            }
            System.out.println("not run: the time limit has passed");
            each.daemons.forEach(Daemon::end);
            Runtime.getRuntime().halt(NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        try {
            each.directory = Files.createTempDirectory("review-2-");
            each.record = new Record(Path.of(folder, "record.txt"));
            each.store = new Store("127.0.0.1");
            each.cloud = new Cloud("127.0.0.1", each.record);
            status = each.play();
        } catch (Exception e) {
            e.printStackTrace();
        }
        each.daemons.forEach(Daemon::end);
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + each.directory);
        } else {
            delete(each.directory);
        }
        System.out.println(status == HELD ? "held" : status == BROKEN ? "BROKEN" : "not run");
        System.exit(status);
    }

    private static void delete(Path directory) {
        try (var files = Files.list(directory)) {
            for (Path each : files.toList()) {
                Files.delete(each);
            }
            Files.delete(directory);
        } catch (Exception e) {
            System.out.println("could not delete the temporary folder: " + e.getMessage());
        }
    }
}
