package org.cranberrybend.entry.http;

/** An API call that failed without a complete response. */
public final class ApiCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    ApiCallException(String message, boolean sent) {
        super(message);
        this.sent = sent;
    }

    /** Returns whether the request may have reached the server in whole or in part, so that its outcome is unknown. */
    public boolean isSent() {
        return sent;
    }
}
