package org.cranberrybend.ctl.client;

import org.cranberrybend.runtime.lifecycle.ExitCode;

/** Thrown if a command fails; carries the exit code of the program. */
public final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /** Creates the exception with the message printed to the operator. */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /** Returns the exit code. */
    public ExitCode exitCode() {
        return exitCode;
    }
}
