package org.cranberrybend.ctl.command;

import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.cranberrybend.ctl.client.CommandException;
import org.cranberrybend.ctl.client.ControllerClient;
import org.cranberrybend.ctl.render.OutputFormat;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/**
 * What a command works with.
 *
 * @param line parsed options
 * @param arguments words after the command's name
 * @param client calls to the fleet
 * @param format form of the output
 * @param out where the output goes
 */
public record CommandContext(
        CommandLine line, List<String> arguments, ControllerClient client, OutputFormat format, PrintStream out) {
    public CommandContext {
        arguments = List.copyOf(arguments);
    }

    /** Returns the argument at a position after the command's name. */
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

    /** Returns whether changes are only checked. */
    public boolean dryRun() {
        return line.hasOption("dry-run");
    }
}
