package org.cranberrybend.entry.http;

/** A call of an API that got no whole response. */
public final class ApiCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    ApiCallException(String message, boolean sent) {
        super(message);
        this.sent = sent;
    }

    /** Returns whether part of the call may have reached the server, so that it may have been executed. */
    public boolean isSent() {
        return sent;
    }
}
