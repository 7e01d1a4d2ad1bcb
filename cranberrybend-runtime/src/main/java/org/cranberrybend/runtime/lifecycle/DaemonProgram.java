package org.cranberrybend.runtime.lifecycle;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.cranberrybend.runtime.settings.SettingsException;
import org.cranberrybend.runtime.settings.SettingsLoader;

/**
 * Base class of daemons: parses {@code --help}, {@code --version}, {@code --config} and {@code --validate}, loads the
 * settings, starts the service and stops it on SIGTERM or SIGINT.
 *
 * @param <S> settings record of the daemon
 */
public abstract class DaemonProgram<S> {
    private static final String LOG_FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";

    /** Message and stack trace only, because an event is a complete JSON line with its own timestamp and severity. */
    private static final String LOG_FORMAT = "%5$s%6$s%n";

    private final String name;
    private final SettingsLoader<S> settingsLoader;

    /** Creates a daemon with its program name and the loader of its settings. */
    protected DaemonProgram(String name, SettingsLoader<S> settingsLoader) {
        this.name = name;
        this.settingsLoader = settingsLoader;
    }

    /** Creates the daemon's service from its settings, without starting it. */
    protected abstract Service createService(S settings) throws ServiceException;

    /** Runs the daemon until it is stopped, and returns its exit code. */
    public final ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
        System.setProperty(LOG_FORMAT_PROPERTY, LOG_FORMAT);
        Options options = options();
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, arguments);
        } catch (ParseException e) {
            err.println(name + ": " + e.getMessage() + "; see " + name + " --help");
            return ExitCode.USAGE;
        }
        if (line.hasOption("help")) {
            return printHelp(options);
        }
        if (line.hasOption("version")) {
            out.println(name + " " + Version.current());
            return ExitCode.SUCCESS;
        }
        if (!line.hasOption("config")) {
            err.println(name + ": --config FILE is missing; see " + name + " --help");
            return ExitCode.USAGE;
        }
        return runWithSettings(line, out, err);
    }

    private ExitCode printHelp(Options options) {
        try {
            HelpFormatter.builder().get().printHelp(name + " --config FILE [--validate]", "", options, "", false);
            return ExitCode.SUCCESS;
        } catch (IOException e) {
            return ExitCode.FAILURE;
        }
    }

    private ExitCode runWithSettings(CommandLine line, PrintStream out, PrintStream err) {
        S settings;
        try {
            settings = settingsLoader.load(Path.of(line.getOptionValue("config")));
        } catch (SettingsException e) {
            e.errors().forEach(error -> err.println(name + ": " + error));
            return ExitCode.INVALID;
        }
        if (line.hasOption("validate")) {
            out.println("settings are valid");
            return ExitCode.SUCCESS;
        }
        return serve(settings, err);
    }

    private ExitCode serve(S settings, PrintStream err) {
        try {
            Service service = createService(settings);
            service.start();
            CountDownLatch stopped = new CountDownLatch(1);
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                service.stop();
                                stopped.countDown();
                            },
                            "shutdown"));
            stopped.await();
            return ExitCode.SUCCESS;
        } catch (ServiceException e) {
            err.println(name + ": " + e.getMessage());
            return ExitCode.FAILURE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILURE;
        }
    }

    private static Options options() {
        return new Options()
                .addOption("h", "help", false, "print this help and exit")
                .addOption(null, "version", false, "print the version and exit")
                .addOption("c", "config", true, "JSON settings file")
                .addOption(null, "validate", false, "check the settings and exit");
    }
}
