package org.cranberrybend.runtime.lifecycle;

/** Exit codes of all programs. */
public enum ExitCode {
    SUCCESS(0),
    FAILURE(1),
    USAGE(2),
    CONFLICT(3),
    NOT_FOUND(4),
    UNREACHABLE(5),
    INVALID(6);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the process exit code. */
    public int number() {
        return number;
    }
}
