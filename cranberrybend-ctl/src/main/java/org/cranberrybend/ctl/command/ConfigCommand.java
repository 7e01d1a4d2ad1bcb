package org.cranberrybend.ctl.command;

import java.nio.file.Path;
import org.cranberrybend.ctl.client.CommandException;
import org.cranberrybend.ctl.render.OutputFormat;
import org.cranberrybend.daemon.ConfigurationCheckCommand;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/** Checks a configuration file of entry instances; needs no connection to the fleet. */
final class ConfigCommand {
    private ConfigCommand() {}

    static void run(CommandContext context) throws CommandException {
        if (context.arguments().size() != 2 || !context.argument(0, "check").equals("check")) {
            throw new CommandException(ExitCode.USAGE, "usage: config check NEW [--against IN_FORCE]");
        }
        int status = ConfigurationCheckCommand.run(
                context.line(),
                Path.of(context.argument(1, "NEW")),
                context.format() == OutputFormat.JSON,
                context.out(),
                System.err);
        if (status == ConfigurationCheckCommand.EXIT_ERRORS) {
            throw new CommandException(ExitCode.FAILURE, "the configuration has errors");
        }
        if (status == ConfigurationCheckCommand.EXIT_UNREADABLE) {
            throw new CommandException(ExitCode.USAGE, "the configuration was not checked");
        }
    }
}
