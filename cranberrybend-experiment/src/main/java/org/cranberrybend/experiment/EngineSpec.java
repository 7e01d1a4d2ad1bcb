package org.cranberrybend.experiment;

import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.UpstreamKind;

/**
 * An upstream of a deployment.
 *
 * @param zone availability zone
 * @param region region
 * @param service model or plain service
 * @param kind engine or plain service
 * @param slots requests that run at a time
 * @param speedRatio speed relative to the reference upstream
 * @param market terms under which it runs
 */
record EngineSpec(
        String zone, String region, String service, UpstreamKind kind, int slots, double speedRatio, Market market) {
    /** Prompt tokens per millisecond of the reference engine; prompts are processed one after the other. */
    static final double PREFILL_TOKENS_PER_MS = 8;
    /** Time per output token of the reference engine with one request, in milliseconds. */
    static final double TOKEN_MS = 14;
    /** Increase of the time per token for each further request of the batch. */
    static final double BATCH_SLOWDOWN_RATIO = 0.06;

    /** Returns the time in milliseconds that a request holds a slot of a full batch. */
    double fullBatchMs(double promptTokens, double outputTokens) {
        double tokenMs = TOKEN_MS * (1 + BATCH_SLOWDOWN_RATIO * (slots - 1));
        return (promptTokens / PREFILL_TOKENS_PER_MS + outputTokens * tokenMs) / speedRatio;
    }
}
