package org.cranberrybend.experiment;

import org.cranberrybend.core.account.RequestClass;

/**
 * Requests of one class in a workload.
 *
 * @param requestClass class with tier and targets
 * @param service model or plain service
 * @param loadRatio part of the capacity that the class needs at nominal load 1
 * @param promptTokens mean prompt tokens
 * @param outputTokens mean output tokens; for a plain service, mean duration of a call in milliseconds
 * @param idempotent whether a request may be sent again after a failure
 */
record ClassSpec(
        RequestClass requestClass,
        String service,
        double loadRatio,
        double promptTokens,
        double outputTokens,
        boolean idempotent) {
    /** Returns the callers' limit on output tokens. */
    long maxOutputTokens() {
        return Math.round(outputTokens * 4);
    }

    /** Returns the time after which a caller without a first token gives up, in milliseconds. */
    long patienceMs() {
        return Math.max(5_000, 3 * requestClass.firstTokenTargetMs());
    }
}
