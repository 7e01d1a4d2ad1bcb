package org.cranberrybend.entry.port;

/** A failed call of a duty. */
public final class DutyException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is known about the execution of the call. */
    public enum Kind {
        /** The platform rejected the call or did not receive it. */
        NOT_DONE,
        /** No response arrived: the call may have been executed. */
        UNKNOWN,
        /** The market has no upstreams of the ordered kind at present. */
        UNAVAILABLE
    }

    private final Kind kind;

    /** Creates the exception. */
    public DutyException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns what is known about the execution of the call. */
    public Kind kind() {
        return kind;
    }
}
