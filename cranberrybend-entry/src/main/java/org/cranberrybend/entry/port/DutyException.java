package org.cranberrybend.entry.port;

/** A call that only the holder of a duty makes did not succeed. */
public final class DutyException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is known about the call. */
    public enum Kind {
        /** The platform did not take the call. */
        NOT_DONE,
        /** No answer came: the call may have been taken. */
        UNKNOWN,
        /** Upstreams of the wanted kind are not available at the moment. */
        UNAVAILABLE
    }

    private final Kind kind;

    /** Creates the exception. */
    public DutyException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns what is known about the call. */
    public Kind kind() {
        return kind;
    }
}
