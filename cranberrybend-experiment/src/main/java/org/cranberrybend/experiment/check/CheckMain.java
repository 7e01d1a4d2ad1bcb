package org.cranberrybend.experiment.check;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/** Entry point of the check program: runs end-to-end checks against a running fleet and prints a line for each. */
public final class CheckMain {
    private static final String NAME = "check";

    private CheckMain() {}

    /** Runs the program. */
    public static void main(String[] arguments) throws InterruptedException {
        System.exit(run(arguments, System.out, System.err).number());
    }

    private static ExitCode run(String[] arguments, PrintStream out, PrintStream err) throws InterruptedException {
        try {
            CommandLine line = new DefaultParser()
                    .parse(new Options().addOption(null, "fleet", true, "fleet.json of a running fleet"), arguments);
            if (!line.hasOption("fleet")) {
                throw new ParseException("--fleet FILE is missing");
            }
            FleetSession session = new FleetSession(FleetFile.read(Path.of(line.getOptionValue("fleet"))));
            return check(session, out);
        } catch (ParseException e) {
            err.println(NAME + ": " + e.getMessage());
            return ExitCode.USAGE;
        } catch (IOException e) {
            err.println(NAME + ": " + e.getMessage());
            return ExitCode.FAILURE;
        }
    }

    private static ExitCode check(FleetSession session, PrintStream out) throws InterruptedException {
        CheckRun run = new CheckRun(out);
        new ModelChecks(session).run(run);
        new RefusalChecks(session).run(run);
        new ServiceChecks(session).run(run);
        new OperatorChecks(session).run(run);
        new UsageChecks(session).run(run);
        new RecordChecks(session).run(run);
        out.println(run.count() - run.failedCount() + " of " + run.count() + " checks passed");
        return run.hasFailed() ? ExitCode.FAILURE : ExitCode.SUCCESS;
    }
}
