package org.cranberrybend.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs the soak for one or more seeds. Exit status: 0 all promises kept, 1 promises broken, 2 invalid arguments. */
public final class SoakMain {
    private static final int DEFAULT_INSTANCES = 4;
    private static final int DEFAULT_SECONDS = 30;
    private static final int EXIT_VIOLATIONS = 1;
    private static final int EXIT_USAGE = 2;

    private SoakMain() {}

    private static Options options() {
        return new Options()
                .addOption(numberOption("seed", "first seed; drawn if absent"))
                .addOption(numberOption("runs", "number of seeds in a row, 1 if absent"))
                .addOption(numberOption("instances", "entry instances of a run, " + DEFAULT_INSTANCES + " if absent"))
                .addOption(numberOption("seconds", "length of a run, " + DEFAULT_SECONDS + " if absent"))
                .addOption(Option.builder()
                        .longOpt("program")
                        .hasArg()
                        .required()
                        .desc("jar of the entry program")
                        .build())
                .addOption(Option.builder()
                        .longOpt("directory")
                        .hasArg()
                        .required()
                        .desc("directory for settings and logs")
                        .build());
    }

    private static Option numberOption(String name, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .type(Number.class)
                .desc(description)
                .build();
    }

    /** Runs the soak and exits. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        CommandLine line;
        long seed;
        long runs;
        int instances;
        long lengthMs;
        try {
            line = new DefaultParser().parse(options(), arguments);
            seed = parseNumber(line, "seed", ThreadLocalRandom.current().nextInt(1_000_000));
            runs = parseNumber(line, "runs", 1);
            instances = (int) parseNumber(line, "instances", DEFAULT_INSTANCES);
            lengthMs = parseNumber(line, "seconds", DEFAULT_SECONDS) * 1_000;
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            new HelpFormatter().printHelp("cranberrybend-soak", options());
            System.exit(EXIT_USAGE);
            return;
        }
        int failedRuns = 0;
        for (long currentSeed = seed; currentSeed < seed + runs; currentSeed++) {
            Path directory = Path.of(line.getOptionValue("directory"), "seed-" + currentSeed);
            Files.createDirectories(directory);
            failedRuns +=
                    run(currentSeed, instances, lengthMs, directory, Path.of(line.getOptionValue("program"))) ? 0 : 1;
        }
        System.out.println(runs - failedRuns + " of " + runs + " runs kept all promises");
        System.exit(failedRuns == 0 ? 0 : EXIT_VIOLATIONS);
    }

    private static long parseNumber(CommandLine line, String name, long defaultValue) throws ParseException {
        Number value = (Number) line.getParsedOptionValue(name);
        return value == null ? defaultValue : value.longValue();
    }

    /** Returns the command line of the entry program: the JVM options of a deployment, without its class archive. */
    static List<String> command(Path program) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xms64m",
                "-Xmx112m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1"));
        command.add("-jar");
        command.add(program.toAbsolutePath().toString());
        return command;
    }

    private static boolean run(long seed, int instances, long lengthMs, Path directory, Path program)
            throws IOException, InterruptedException {
        Schedule schedule = Schedule.draw(seed, lengthMs, instances);
        List<String> lines = new ArrayList<>();
        schedule.entries().forEach(entry -> lines.add(entry.toString()));
        Files.write(directory.resolve("schedule.txt"), lines);
        try (SoakRun run = new SoakRun(schedule, lengthMs, instances, directory, command(program))) {
            SoakRun.Result result = run.run();
            System.out.println("seed " + seed + ": "
                    + (result.violations().isEmpty() ? "kept" : "BROKEN") + ", " + lines.size() + " faults, answers "
                    + result.outcomes() + ", windows reported " + result.reportedWindows());
            result.violations().forEach(violation -> System.out.println("  " + violation));
            return result.violations().isEmpty();
        }
    }
}
