package org.cranberrybend.runtime.http;

/** Thrown by an endpoint of a {@link JsonRouter} to respond with an HTTP status and an error message. */
public final class HttpStatusException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    /** Creates the exception with the status and the message for the client. */
    public HttpStatusException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }
}
