package org.cranberrybend.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.cranberrybend.core.admission.DispatchSettings;
import org.cranberrybend.runtime.lifecycle.ExitCode;
import org.cranberrybend.runtime.lifecycle.Version;

/**
 * Entry point of {@code cranberrybend-experiment}: compares the router's dispatch and scaling decisions with baseline
 * policies in a simulation of engines and callers.
 *
 * <p>A missed bound is a result of the measurement: it is printed and does not change the exit code.
 */
public final class ExperimentMain {
    private static final String NAME = "cranberrybend-experiment";

    private ExperimentMain() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err).number());
    }

    static ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
        try {
            CommandLine line = new DefaultParser().parse(options(), arguments);
            if (line.hasOption("help")) {
                HelpFormatter.builder().get().printHelp(NAME + " [OPTION...]", "", options(), "", false);
                return ExitCode.SUCCESS;
            }
            if (line.hasOption("version")) {
                out.println(NAME + " " + Version.current());
                return ExitCode.SUCCESS;
            }
            measure(line, out);
            return ExitCode.SUCCESS;
        } catch (ParseException | IllegalArgumentException e) {
            err.println(NAME + ": " + e.getMessage() + "; see " + NAME + " --help");
            return ExitCode.USAGE;
        } catch (IOException e) {
            err.println(NAME + ": cannot write the output: " + e.getMessage());
            return ExitCode.FAILURE;
        }
    }

    private static Options options() {
        return new Options()
                .addOption(null, "help", false, "print this help")
                .addOption(null, "version", false, "print the version")
                .addOption(null, "seeds", true, "comma-separated seeds of the arrivals (default 1,2,3)")
                .addOption(null, "deployment", true, "jegyhid, quetzal or all (default all)")
                .addOption(null, "output", true, "table or json (default table)")
                .addOption(null, "plot", true, "write a plot of the attainment to FILE (.svg or .png)");
    }

    private static void measure(CommandLine line, PrintStream out) throws ParseException, IOException {
        List<Long> seeds = seeds(line.getOptionValue("seeds", "1,2,3"));
        List<Deployment> deployments = deployments(line.getOptionValue("deployment", "all"));
        String output = line.getOptionValue("output", "table");
        if (!List.of("table", "json").contains(output)) {
            throw new ParseException("--output must be table or json: " + output);
        }
        String plot = line.getOptionValue("plot", "");
        if (!plot.isEmpty() && !plot.endsWith(".svg") && !plot.endsWith(".png")) {
            throw new ParseException("--plot must end in .svg or .png: " + plot);
        }
        List<Experiment.Result> results = Experiment.runAll(deployments, seeds, DispatchSettings.DEFAULT);
        if (output.equals("json")) {
            ResultWriter.writeJson(results, out);
        } else {
            ResultWriter.writeTable(results, out);
        }
        if (!plot.isEmpty()) {
            ResultWriter.writePlot(results, Path.of(plot));
        }
    }

    private static List<Long> seeds(String text) throws ParseException {
        try {
            return Arrays.stream(text.split(",")).map(Long::valueOf).toList();
        } catch (NumberFormatException e) {
            throw new ParseException("--seeds must be comma-separated integers: " + text);
        }
    }

    private static List<Deployment> deployments(String text) throws ParseException {
        if (text.equals("all")) {
            return List.of(Deployment.values());
        }
        for (Deployment deployment : Deployment.values()) {
            if (deployment.name().toLowerCase(Locale.ROOT).equals(text)) {
                return List.of(deployment);
            }
        }
        throw new ParseException("--deployment must be jegyhid, quetzal or all: " + text);
    }
}
