package org.cranberrybend.entry.request;

/**
 * Statuses that promise a caller that its request was not executed and never will be. Callers repeat requests that may
 * run once after them, so none may be sent unless it is true.
 */
enum RefusalStatus {
    REQUEST_TIMEOUT(408),
    MISDIRECTED_REQUEST(421),
    TOO_MANY_REQUESTS(429),
    SERVICE_UNAVAILABLE(503);

    private final int code;

    RefusalStatus(int code) {
        this.code = code;
    }

    /** Returns whether a status code is this one. */
    boolean is(int statusCode) {
        return statusCode == code;
    }

    /** Returns whether a status code is one of these. */
    static boolean includes(int statusCode) {
        for (RefusalStatus each : values()) {
            if (each.is(statusCode)) {
                return true;
            }
        }
        return false;
    }
}
