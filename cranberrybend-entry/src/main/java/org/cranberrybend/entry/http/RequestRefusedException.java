package org.cranberrybend.entry.http;

/** A request that was not received completely is refused; it has not run. */
final class RequestRefusedException extends Exception {
    private static final long serialVersionUID = 1;

    private final int status;

    RequestRefusedException(int status, String reason) {
        // Without a stack trace: untrusted callers cause these at any rate.
        super(reason, null, false, false);
        this.status = status;
    }

    static RequestRefusedException memoryExhausted() {
        return new RequestRefusedException(503, "Service Unavailable");
    }

    static RequestRefusedException bodyTooLarge() {
        return new RequestRefusedException(413, "Content Too Large");
    }

    int status() {
        return status;
    }
}
