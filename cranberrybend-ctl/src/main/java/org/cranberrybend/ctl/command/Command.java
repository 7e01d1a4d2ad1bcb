package org.cranberrybend.ctl.command;

import org.cranberrybend.ctl.client.CommandException;

/** One command of the command line. */
@FunctionalInterface
public interface Command {
    /** Runs the command and prints its output. */
    void run(CommandContext context) throws CommandException;
}
