package org.cranberrybend.experiment.load;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.lifecycle.ExitCode;
import org.cranberrybend.runtime.lifecycle.Version;

/** Entry point of {@code cranberrybend-load}: parses options, runs the load plan and prints the measurements. */
public final class LoadMain {
    private static final String NAME = "cranberrybend-load";

    private LoadMain() {}

    /** Runs the program. */
    public static void main(String[] arguments) throws InterruptedException, ExecutionException {
        System.exit(run(arguments, System.out, System.err).number());
    }

    private static ExitCode run(String[] arguments, PrintStream out, PrintStream err)
            throws InterruptedException, ExecutionException {
        try {
            CommandLine line = new DefaultParser().parse(options(), arguments);
            if (line.hasOption("help")) {
                return printHelp();
            }
            if (line.hasOption("version")) {
                out.println(NAME + " " + Version.current());
                return ExitCode.SUCCESS;
            }
            return measure(line, out);
        } catch (ParseException | IllegalArgumentException e) {
            err.println(NAME + ": " + e.getMessage() + "; see " + NAME + " --help");
            return ExitCode.USAGE;
        }
    }

    private static ExitCode measure(CommandLine line, PrintStream out)
            throws ParseException, InterruptedException, ExecutionException {
        List<LoadTarget> targets = targets(line);
        LoadPlan plan = new LoadPlan(
                line.getOptionValue("model", "stub-writer"),
                integerOption(line, "concurrency", 8),
                integerOption(line, "requests", 200),
                integerOption(line, "rounds", 3),
                integerOption(line, "max-tokens", 64),
                integerOption(line, "prompt-characters", 200));
        long seed = integerOption(line, "seed", 1);
        Map<LoadTarget, LoadResult> results = new LoadRun(plan, seed).run(targets);
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("seed", seed);
        report.put("plan", plan);
        results.forEach((target, result) -> report.put(target.name(), result.metrics()));
        if (line.getOptionValue("output", "table").equals("json")) {
            out.println(CanonicalJson.write(report));
        } else {
            report.forEach((name, value) -> out.println(name + ": " + value));
        }
        boolean failures = results.values().stream().anyMatch(result -> result.failed() > 0);
        return failures ? ExitCode.FAILURE : ExitCode.SUCCESS;
    }

    private static List<LoadTarget> targets(CommandLine line) throws ParseException {
        List<LoadTarget> targets = new ArrayList<>();
        if (line.hasOption("direct")) {
            targets.add(new LoadTarget("direct", URI.create(line.getOptionValue("direct")), ""));
        }
        if (line.hasOption("router")) {
            targets.add(new LoadTarget(
                    "router", URI.create(line.getOptionValue("router")), line.getOptionValue("key", "")));
        }
        if (targets.isEmpty()) {
            throw new ParseException("at least one of --router and --direct is required");
        }
        return targets;
    }

    private static int integerOption(CommandLine line, String option, int defaultValue) throws ParseException {
        String text = line.getOptionValue(option);
        try {
            return text == null ? defaultValue : Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new ParseException("--" + option + " must be an integer: " + text);
        }
    }

    private static ExitCode printHelp() {
        try {
            HelpFormatter.builder()
                    .get()
                    .printHelp(NAME + " --router URL --key KEY --direct URL", "", options(), "", false);
            return ExitCode.SUCCESS;
        } catch (IOException e) {
            return ExitCode.FAILURE;
        }
    }

    private static Options options() {
        return new Options()
                .addOption("h", "help", false, "print this help and exit")
                .addOption(null, "version", false, "print the version and exit")
                .addOption(null, "router", true, "caller address of a router")
                .addOption(null, "key", true, "API key for the router")
                .addOption(null, "direct", true, "address of an engine, measured without the router")
                .addOption(null, "model", true, "model; default stub-writer")
                .addOption(null, "concurrency", true, "requests in flight; default 8")
                .addOption(null, "requests", true, "requests per round; default 200")
                .addOption(null, "rounds", true, "rounds after the warm-up; default 3")
                .addOption(null, "max-tokens", true, "output tokens per request; default 64")
                .addOption(null, "prompt-characters", true, "prompt length in characters; default 200")
                .addOption(null, "seed", true, "seed of the prompts; default 1")
                .addOption(null, "output", true, "table (default) or json");
    }
}
