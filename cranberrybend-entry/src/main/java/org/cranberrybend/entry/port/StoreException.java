package org.cranberrybend.entry.port;

/** A failed call to the key-value store. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is known about the execution of a failed call. */
    public enum Kind {
        /** The store rejected the call or could not be reached; nothing was executed. */
        NOT_DONE,
        /** No response arrived: the call may have been executed, or may still be. */
        UNKNOWN,
        /** A condition of the write does not hold; nothing was written. */
        CONDITION_FAILED,
        /** The key or the lease does not exist. */
        NOT_FOUND,
        /** Changes since the given revision are no longer available, or too many to be read. */
        HISTORY_LOST
    }

    private final Kind kind;

    /** Creates the exception. */
    public StoreException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns what is known about the execution of the call. */
    public Kind kind() {
        return kind;
    }

    /** Returns the kind of a failure; {@link Kind#UNKNOWN} if it is not a {@code StoreException}. */
    public static Kind kindOf(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause instanceof StoreException ? ((StoreException) cause).kind : Kind.UNKNOWN;
    }
}
