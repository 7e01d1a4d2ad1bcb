package org.cranberrybend.ctl.command;

import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.cranberrybend.ctl.client.CommandException;
import org.cranberrybend.ctl.client.ControllerClient;
import org.cranberrybend.ctl.render.OutputFormat;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/**
 * Input and output of a command.
 *
 * @param line parsed options
 * @param arguments arguments after the name of the command
 * @param client client for the fleet; null if the command needs no profile
 * @param format output format
 * @param out stream for the output
 */
public record CommandContext(
        CommandLine line, List<String> arguments, ControllerClient client, OutputFormat format, PrintStream out) {
    public CommandContext {
        arguments = List.copyOf(arguments);
    }

    /** Returns a required argument; its name is used in the error message if it is missing. */
    public String argument(int position, String name) throws CommandException {
        if (position >= arguments.size()) {
            throw new CommandException(ExitCode.USAGE, "argument " + name + " is missing");
        }
        return arguments.get(position);
    }

    /** Returns an option's value, or the default if it was not given. */
    public String option(String name, String defaultValue) {
        return line.getOptionValue(name, defaultValue);
    }

    /** Returns whether changes are only validated. */
    public boolean dryRun() {
        return line.hasOption("dry-run");
    }
}
