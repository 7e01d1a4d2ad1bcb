package org.cranberrybend.entry.http;

/** An API call that failed without a complete response. */
public final class ApiCallException extends Exception {
    private static final long serialVersionUID = 1L;

    /** How far a call had come when it failed. */
    enum Progress {
        NOT_SENT,
        SENT,
        RESPONSE_BEGUN
    }

    private final Progress progress;

    ApiCallException(String message, Progress progress) {
        super(message);
        this.progress = progress;
    }

    /** Returns whether the request may have reached the server in whole or in part, so that its outcome is unknown. */
    public boolean isSent() {
        return progress != Progress.NOT_SENT;
    }

    /**
     * Returns whether a part of the response was received: it was cut off, malformed, or too large for the time or the
     * memory that was left for it.
     */
    public boolean isResponseBegun() {
        return progress == Progress.RESPONSE_BEGUN;
    }
}
