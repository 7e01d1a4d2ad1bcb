package org.cranberrybend.daemon;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.EntryService;
import org.cranberrybend.entry.EntrySettings;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.platform.PlatformPorts;
import sun.misc.Signal;

/**
 * Starts an entry instance from its settings file, validates such a file, checks a configuration, or makes the training
 * run of the class archive.
 */
public final class EntryDaemon {
    private static final String SETTINGS_VARIABLE = "CRANBERRYBEND_NODE_FILE";
    private static final String VALIDATE = "--validate";
    private static final String TRAIN = "--train-class-archive";
    private static final String CHECK = "--check-configuration";
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_SETTINGS = 3;
    private static final int EXIT_START = 4;
    /** The event loop ended by an error. */
    private static final int EXIT_ERROR = 5;

    private static final long LOG_FLUSH_LIMIT_MS = 300;

    private EntryDaemon() {}

    /** Runs the program. */
    public static void main(String[] arguments) throws InterruptedException {
        if (arguments.length == 2 && arguments[0].equals(VALIDATE)) {
            load(Path.of(arguments[1]));
            System.out.println("settings are valid");
            return;
        }
        if (arguments.length > 0 && arguments[0].equals(CHECK)) {
            String[] ofCheck = Arrays.copyOfRange(arguments, 1, arguments.length);
            System.exit(ConfigurationCheckCommand.run(ofCheck, System.out, System.err));
        }
        if (arguments.length == 1 && arguments[0].equals(TRAIN)) {
            train();
            return;
        }
        String file = System.getenv(SETTINGS_VARIABLE);
        if (arguments.length > 0 || file == null) {
            System.err.println("usage: [" + VALIDATE + " FILE | " + CHECK + " NEW [OPTION...] | " + TRAIN
                    + "]; the variable " + SETTINGS_VARIABLE + " names the settings file of a start");
            System.exit(EXIT_USAGE);
        }
        run(Path.of(file));
    }

    private static void train() throws InterruptedException {
        try {
            InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
            new ClassArchiveTraining().run();
        } catch (IOException | JsonFormatException e) {
            System.err.println("training for the class archive failed: " + e.getMessage());
            System.exit(EXIT_START);
        }
    }

    private static void run(Path file) throws InterruptedException {
        EntrySettings settings = load(file);
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        LibraryLogHandler libraryLog = new LibraryLogHandler(System.err);
        libraryLog.install();
        TimeSource timeSource = TimeSource.system();
        DecisionLog log = new DecisionLog(settings.instance(), timeSource.wallMs(), timeSource, System.out);
        log.start();
        EntryService service = new EntryService(settings, new PlatformPorts(), log);
        service.onLoopEnded(() -> exitAfterError(log, libraryLog));
        Signal.handle(new Signal("HUP"), signal -> service.reload(file));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(service, log), "shutdown"));
        try {
            service.start();
        } catch (IOException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_START);
        }
    }

    /** Ends the process at once: without its event loop it can neither serve nor drain. */
    private static void exitAfterError(DecisionLog log, LibraryLogHandler libraryLog) {
        String cause = libraryLog.lastThrown().map(Throwable::toString).orElse("unknown");
        log.record(EventCode.PROCESS_FAILED, "event loop", "cause", cause, "exit_status", EXIT_ERROR);
        log.stop(LOG_FLUSH_LIMIT_MS);
        Runtime.getRuntime().halt(EXIT_ERROR);
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
