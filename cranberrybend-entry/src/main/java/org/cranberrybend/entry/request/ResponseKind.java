package org.cranberrybend.entry.request;

import org.apache.hc.core5.http.HttpStatus;

/** What the status of an upstream's complete response means that does not state that the request was not executed. */
enum ResponseKind {
    /** The answer to the request, which is passed on unchanged. */
    ANSWER,
    /** The upstream has failed, perhaps after it executed the request; passed on unchanged if it is not retried. */
    SERVER_ERROR,
    /**
     * The status promises that the request was not executed, but the response does not state it: the upstream may have
     * executed the request and failed afterwards. If it is not retried, a response without a promise takes its place,
     * since the caller would take the status for that of this program.
     */
    UNPROVEN_REFUSAL;

    /** Returns the kind of a response. */
    static ResponseKind of(int status) {
        if (RefusalStatus.includes(status)) {
            return UNPROVEN_REFUSAL;
        }
        return status >= HttpStatus.SC_SERVER_ERROR ? SERVER_ERROR : ANSWER;
    }
}
