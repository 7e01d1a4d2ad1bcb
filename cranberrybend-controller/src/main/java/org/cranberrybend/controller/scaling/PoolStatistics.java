package org.cranberrybend.controller.scaling;

import java.util.OptionalDouble;
import org.cranberrybend.core.scaling.DemandEstimate;

/**
 * Demand for one model in the zone and the measured throughput of its slots. Immutable.
 *
 * @param estimate demand, based on the token counts estimated when the requests arrived
 * @param servedTokens exponentially decaying sum of the tokens served
 * @param servedExpectedTokens exponentially decaying sum of the tokens estimated for the same requests
 * @param servedSlotMs exponentially decaying sum of the time that these requests held their slots, in milliseconds
 */
record PoolStatistics(DemandEstimate estimate, double servedTokens, double servedExpectedTokens, double servedSlotMs) {
    static final PoolStatistics NONE = new PoolStatistics(DemandEstimate.NONE, 0, 0, 0);

    /**
     * Returns the demand scaled by the ratio of served to estimated tokens, because the estimate of a request often
     * differs greatly from its actual output.
     */
    DemandEstimate servedEstimate() {
        double ratio = servedExpectedTokens > 0 ? servedTokens / servedExpectedTokens : 1;
        return new DemandEstimate(
                estimate.upperTokensPerSecond() * ratio,
                estimate.totalTokensPerSecond() * ratio,
                Math.round(estimate.upperQueuedTokens() * ratio),
                Math.round(estimate.totalQueuedTokens() * ratio));
    }

    /** Returns the tokens that one slot serves per second, or empty before the first request has completed. */
    OptionalDouble tokensPerSlotSecond() {
        return servedTokens > 0 && servedSlotMs > 0
                ? OptionalDouble.of(servedTokens * 1_000 / servedSlotMs)
                : OptionalDouble.empty();
    }
}
