package org.cranberrybend.controller.scaling;

import java.util.OptionalDouble;
import org.cranberrybend.core.scaling.DemandEstimate;

/**
 * What is known of the demand for one model in the zone. Immutable.
 *
 * @param estimate demand, with the tokens of a request as expected on arrival
 * @param servedTokens decaying sum of the tokens served
 * @param servedExpectedTokens decaying sum of the tokens that were expected of the same requests
 * @param servedSlotMs decaying sum of the time for which they held their slots, in milliseconds
 */
record PoolMeasure(DemandEstimate estimate, double servedTokens, double servedExpectedTokens, double servedSlotMs) {
    static final PoolMeasure NONE = new PoolMeasure(DemandEstimate.NONE, 0, 0, 0);

    /** Returns the demand in tokens as served: the expected output of a request is often far from the real one. */
    DemandEstimate servedEstimate() {
        double ratio = servedExpectedTokens > 0 ? servedTokens / servedExpectedTokens : 1;
        return new DemandEstimate(
                estimate.upperTokensPerSecond() * ratio,
                estimate.totalTokensPerSecond() * ratio,
                Math.round(estimate.upperQueuedTokens() * ratio),
                Math.round(estimate.totalQueuedTokens() * ratio));
    }

    /** Returns the tokens that one slot serves per second, if any request ended yet. */
    OptionalDouble tokensPerSlotSecond() {
        return servedTokens > 0 && servedSlotMs > 0
                ? OptionalDouble.of(servedTokens * 1_000 / servedSlotMs)
                : OptionalDouble.empty();
    }
}
