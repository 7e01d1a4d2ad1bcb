package org.cranberrybend.experiment;

import org.cranberrybend.core.account.RequestClass;

/**
 * Requests of one class in a workload.
 *
 * @param requestClass request class with tier and latency targets
 * @param service name of the model or plain service
 * @param loadRatio fraction of the capacity that the class uses at a load ratio of 1
 * @param promptTokens mean number of prompt tokens; 0 for a plain service
 * @param outputTokens mean number of output tokens; for a plain service, mean duration of a call in milliseconds
 * @param idempotent whether a request may be retried after an attempt that may have been executed
 */
record ClassSpec(
        RequestClass requestClass,
        String service,
        double loadRatio,
        double promptTokens,
        double outputTokens,
        boolean idempotent) {
    /** Returns the limit on output tokens that callers set. */
    long maxOutputTokens() {
        return Math.round(outputTokens * 4);
    }

    /** Returns the time in milliseconds after which a caller that has received no token disconnects. */
    long callerTimeoutMs() {
        return Math.max(5_000, 3 * requestClass.firstTokenTargetMs());
    }
}
