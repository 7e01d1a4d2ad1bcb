package org.cranberrybend.entry.http;

/** Thrown if the server refuses a request that was not received completely, so that it has not run. */
final class RequestRefusedException extends Exception {
    private static final long serialVersionUID = 1;

    private static final int MEMORY_EXHAUSTED_STATUS = 503;

    private final int status;

    private RequestRefusedException(int status, String reason) {
        // Without a stack trace: untrusted callers cause these at any rate.
        super(reason, null, false, false);
        this.status = status;
    }

    static RequestRefusedException memoryExhausted() {
        return new RequestRefusedException(MEMORY_EXHAUSTED_STATUS, "Service Unavailable");
    }

    static RequestRefusedException bodyTooLarge() {
        return new RequestRefusedException(413, "Content Too Large");
    }

    static RequestRefusedException headTooLarge() {
        return new RequestRefusedException(431, "Request Header Fields Too Large");
    }

    static RequestRefusedException malformed() {
        return new RequestRefusedException(400, "Bad Request");
    }

    boolean isMemoryExhausted() {
        return status == MEMORY_EXHAUSTED_STATUS;
    }

    int status() {
        return status;
    }
}
