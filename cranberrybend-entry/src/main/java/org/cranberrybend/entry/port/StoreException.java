package org.cranberrybend.entry.port;

/** A call to the key-value store that did not succeed. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is known about a call that did not succeed. */
    public enum Kind {
        /** The store answered that it did nothing, or could not be reached. */
        NOT_DONE,
        /** No answer came: the call may have been executed, or may still be. */
        UNKNOWN,
        /** A condition of the write does not hold; nothing was done. */
        CONDITION_FAILED,
        /** The key or the lease does not exist. */
        NOT_FOUND,
        /** Changes since the given revision are no longer available. */
        HISTORY_LOST
    }

    private final Kind kind;

    /** Creates the exception. */
    public StoreException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns what is known about the call. */
    public Kind kind() {
        return kind;
    }

    /** Returns the kind of a failure of a call; any other failure counts as unknown. */
    public static Kind kindOf(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause instanceof StoreException ? ((StoreException) cause).kind : Kind.UNKNOWN;
    }
}
