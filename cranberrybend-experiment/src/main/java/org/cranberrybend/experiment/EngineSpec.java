package org.cranberrybend.experiment;

import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.UpstreamKind;

/**
 * An upstream of a deployment.
 *
 * @param zone availability zone
 * @param region region of the zone
 * @param service name of the model or plain service
 * @param kind engine or plain service
 * @param slots number of requests executed concurrently
 * @param speedRatio speed relative to the reference upstream
 * @param market guaranteed or preemptible
 */
record EngineSpec(
        String zone, String region, String service, UpstreamKind kind, int slots, double speedRatio, Market market) {
    /** Prefill rate of the reference engine, in tokens per millisecond; prefill is sequential. */
    static final double PREFILL_TOKENS_PER_MS = 8;
    /** Time per output token of the reference engine with a batch of one request, in milliseconds. */
    static final double TOKEN_MS = 14;
    /** Relative increase of the time per token for each further request in the batch. */
    static final double BATCH_SLOWDOWN_RATIO = 0.06;

    /** Returns the time in milliseconds for which a request occupies a slot when all slots are in use. */
    double fullBatchMs(double promptTokens, double outputTokens) {
        double tokenMs = TOKEN_MS * (1 + BATCH_SLOWDOWN_RATIO * (slots - 1));
        return (promptTokens / PREFILL_TOKENS_PER_MS + outputTokens * tokenMs) / speedRatio;
    }
}
