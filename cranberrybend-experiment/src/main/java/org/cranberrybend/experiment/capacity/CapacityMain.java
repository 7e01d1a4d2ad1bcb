package org.cranberrybend.experiment.capacity;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.cranberrybend.runtime.lifecycle.ExitCode;
import org.cranberrybend.runtime.lifecycle.Version;

/** Entry point of {@code cranberrybend-capacity}: parses options, measures the groups and prints the slopes. */
public final class CapacityMain {
    private static final String NAME = "cranberrybend-capacity";

    /** Held strongly: LogManager has only weak references, and a collected logger would lose its level. */
    private static final Logger PROJECT_LOGGER = Logger.getLogger("org.cranberrybend");

    private CapacityMain() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        // The nodes of the membership group log several hundred events.
        PROJECT_LOGGER.setLevel(Level.SEVERE);
        System.exit(run(arguments, System.out, System.err).number());
    }

    private static ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
        try {
            CommandLine line = new DefaultParser().parse(options(), arguments);
            if (!line.getArgList().isEmpty()) {
                throw new ParseException(
                        "unexpected argument " + line.getArgList().get(0));
            }
            if (line.hasOption("help")) {
                return printHelp();
            }
            if (line.hasOption("version")) {
                out.println(NAME + " " + Version.current());
                return ExitCode.SUCCESS;
            }
            return measure(line, out, err);
        } catch (ParseException e) {
            err.println(NAME + ": " + e.getMessage() + "; see " + NAME + " --help");
            return ExitCode.USAGE;
        }
    }

    private static ExitCode measure(CommandLine line, PrintStream out, PrintStream err) throws ParseException {
        String output = line.getOptionValue("output", "table");
        if (!output.equals("table") && !output.equals("json")) {
            throw new ParseException("--output must be table or json: " + output);
        }
        CapacityReport report = new CapacityReport();
        for (CapacityGroup group : selected(line)) {
            try {
                report.add(group.name(), group.measure());
            } catch (Exception e) {
                err.println(NAME + ": group " + group.name() + " failed: " + e);
                return ExitCode.FAILURE;
            }
        }
        if (output.equals("json")) {
            report.printJson(out);
        } else {
            report.printTable(out);
        }
        return ExitCode.SUCCESS;
    }

    private static List<CapacityGroup> selected(CommandLine line) throws ParseException {
        List<CapacityGroup> groups = new ArrayList<>(List.of(
                new ConfigurationGroup(),
                new SlotGroup(),
                new ShardGroup(),
                new UsageGroup(),
                new MembershipGroup(),
                new SelectorGroup()));
        if (line.hasOption("fleet")) {
            groups.add(new RouterGroup(Path.of(line.getOptionValue("fleet"))));
        }
        if (!line.hasOption("only")) {
            return groups;
        }
        String name = line.getOptionValue("only");
        List<CapacityGroup> matching =
                groups.stream().filter(group -> group.name().equals(name)).toList();
        if (matching.isEmpty()) {
            String known = groups.stream().map(CapacityGroup::name).collect(Collectors.joining(", "));
            throw new ParseException("unknown group " + name + "; groups: " + known
                    + (line.hasOption("fleet") ? "" : "; router needs --fleet"));
        }
        return matching;
    }

    private static ExitCode printHelp() {
        try {
            HelpFormatter.builder().get().printHelp(NAME, "", options(), "", true);
            return ExitCode.SUCCESS;
        } catch (IOException e) {
            return ExitCode.FAILURE;
        }
    }

    private static Options options() {
        return new Options()
                .addOption("h", "help", false, "print this help and exit")
                .addOption(null, "version", false, "print the version and exit")
                .addOption(
                        null,
                        "only",
                        true,
                        "measure one group: configuration, slots, shards, usage, membership, selector, router")
                .addOption(null, "fleet", true, "fleet.json of an idle local fleet; adds the group router")
                .addOption(null, "output", true, "table (default) or json");
    }
}
