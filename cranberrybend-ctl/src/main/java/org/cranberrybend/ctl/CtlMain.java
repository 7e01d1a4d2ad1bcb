package org.cranberrybend.ctl;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.cranberrybend.ctl.client.CommandException;
import org.cranberrybend.ctl.client.ControllerClient;
import org.cranberrybend.ctl.client.Profile;
import org.cranberrybend.ctl.command.CommandContext;
import org.cranberrybend.ctl.command.CommandTable;
import org.cranberrybend.ctl.render.OutputFormat;
import org.cranberrybend.daemon.ConfigurationCheckCommand;
import org.cranberrybend.runtime.lifecycle.ExitCode;
import org.cranberrybend.runtime.lifecycle.Version;

/** Entry point of {@code cranberrybendctl}: parses options and runs one command. */
public final class CtlMain {
    private static final String NAME = "cranberrybendctl";
    private static final String PROFILE_VARIABLE = "CRANBERRYBEND_PROFILE";

    private CtlMain() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.getenv(), System.out, System.err).number());
    }

    static ExitCode run(String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        try {
            CommandLine line = new DefaultParser().parse(options(), arguments);
            if (line.hasOption("help") || arguments.length == 0) {
                return printHelp(out);
            }
            if (line.hasOption("version")) {
                out.println(NAME + " " + Version.current());
                return ExitCode.SUCCESS;
            }
            runCommand(line, environment, out);
            return ExitCode.SUCCESS;
        } catch (ParseException e) {
            err.println(NAME + ": " + e.getMessage() + "; see " + NAME + " --help");
            return ExitCode.USAGE;
        } catch (CommandException e) {
            err.println(NAME + ": " + e.getMessage());
            return e.exitCode();
        }
    }

    private static void runCommand(CommandLine line, Map<String, String> environment, PrintStream out)
            throws CommandException {
        List<String> arguments = new ArrayList<>(line.getArgList());
        if (arguments.isEmpty()) {
            throw new CommandException(ExitCode.USAGE, "no command; see " + NAME + " --help");
        }
        String name = arguments.remove(0);
        CommandTable.Entry entry = CommandTable.entries().get(name);
        if (entry == null) {
            throw new CommandException(ExitCode.USAGE, "unknown command \"" + name + "\"; see " + NAME + " --help");
        }
        OutputFormat format = format(line.getOptionValue("output", "table"));
        if (name.equals("completion") || name.equals("config") || readsLogs(name, line)) {
            entry.command().run(new CommandContext(line, arguments, null, format, out));
            return;
        }
        String profileFile = line.getOptionValue("profile", environment.get(PROFILE_VARIABLE));
        if (profileFile == null) {
            throw new CommandException(ExitCode.USAGE, "no profile; use --profile FILE or set " + PROFILE_VARIABLE);
        }
        String author = line.getOptionValue("author", environment.getOrDefault("USER", "unknown"));
        try (ControllerClient client = new ControllerClient(Profile.read(Path.of(profileFile)), author)) {
            entry.command().run(new CommandContext(line, arguments, client, format, out));
        }
    }

    private static boolean readsLogs(String command, CommandLine line) {
        return line.hasOption("logs") && (command.equals("explain") || command.equals("timeline"));
    }

    private static OutputFormat format(String name) throws CommandException {
        try {
            return OutputFormat.valueOf(name.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, "--output must be table or json: " + name);
        }
    }

    private static ExitCode printHelp(PrintStream out) {
        try {
            HelpFormatter.builder()
                    .get()
                    .printHelp(NAME + " [OPTION...] COMMAND [ARGUMENT...]", "", options(), "", false);
            out.print(CommandTable.help());
            return ExitCode.SUCCESS;
        } catch (IOException e) {
            return ExitCode.FAILURE;
        }
    }

    private static Options options() {
        Options options = new Options()
                .addOption("h", "help", false, "print this help and exit")
                .addOption(null, "version", false, "print the version and exit")
                .addOption("p", "profile", true, "profile file; default: $" + PROFILE_VARIABLE)
                .addOption("o", "output", true, "table (default) or json")
                .addOption(null, "author", true, "author recorded with changes; default: $USER")
                .addOption(null, "dry-run", false, "check a change without making it")
                .addOption(null, "seen-revision", true, "refuse the change if the fleet has another revision")
                .addOption(null, "prune", false, "diff, apply, validate: remove entities that the file lacks")
                .addOption(null, "revoke-old", false, "key rotate: revoke the old key at once")
                .addOption(null, "logs", true, "explain, timeline: this log file, - for standard input; repeatable")
                .addOption(null, "html", false, "timeline: one self-contained HTML page")
                .addOption(null, "subject", true, "timeline: only this request, order, lease, member or upstream")
                .addOption(null, "account", true, "timeline: only this client account")
                .addOption(null, "zone", true, "timeline: only processes of this availability zone")
                .addOption(null, "member", true, "timeline: only this process, instance/role")
                .addOption(null, "since", true, "timeline: from this time, or for this duration back")
                .addOption(null, "severity", true, "timeline: INFO, WARNING or ERROR and above");
        return ConfigurationCheckCommand.addOptions(options);
    }
}
