package org.cranberrybend.daemon;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.EntryService;
import org.cranberrybend.entry.EntrySettings;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.platform.PlatformPorts;

/** Starts an entry instance from its settings file, or checks such a file. */
public final class EntryDaemon {
    private static final String SETTINGS_VARIABLE = "CRANBERRYBEND_NODE_FILE";
    private static final String VALIDATE = "--validate";
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_SETTINGS = 3;
    private static final int EXIT_START = 4;
    private static final long LOG_FLUSH_LIMIT_MS = 300;

    private EntryDaemon() {}

    /** Runs the program. */
    public static void main(String[] arguments) throws InterruptedException {
        if (arguments.length == 2 && arguments[0].equals(VALIDATE)) {
            load(Path.of(arguments[1]));
            System.out.println("settings are valid");
            return;
        }
        String file = System.getenv(SETTINGS_VARIABLE);
        if (arguments.length > 0 || file == null) {
            System.err.println("usage: [" + VALIDATE + " FILE]; the variable " + SETTINGS_VARIABLE
                    + " names the settings file of a start");
            System.exit(EXIT_USAGE);
        }
        run(load(Path.of(file)));
    }

    private static void run(EntrySettings settings) throws InterruptedException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        TimeSource timeSource = TimeSource.system();
        DecisionLog log = new DecisionLog(settings.instance(), timeSource.wallMs(), timeSource, System.out);
        log.start();
        EntryService service = new EntryService(settings, new PlatformPorts(), log);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(service, log), "shutdown"));
        try {
            service.start();
        } catch (IOException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_START);
        }
    }

    private static void stop(EntryService service, DecisionLog log) {
        try {
            service.stop();
            log.stop(LOG_FLUSH_LIMIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static EntrySettings load(Path file) {
        try {
            return EntrySettings.parse(Files.readAllBytes(file));
        } catch (IOException | JsonFormatException e) {
            System.err.println("settings file " + file + " cannot be used: " + e.getMessage());
            System.exit(EXIT_SETTINGS);
            throw new IllegalStateException(e);
        }
    }
}
