package org.cranberrybend.core.scaling;

import org.cranberrybend.core.routing.Market;

/** One step towards the target count of upstreams in an availability zone. */
public sealed interface ScalingDecision {
    /** Returns the availability zone concerned. */
    String zone();

    /**
     * Order one more upstream.
     *
     * @param zone availability zone
     * @param market terms under which it is to run
     */
    record Start(String zone, Market market) implements ScalingDecision {}

    /**
     * Send no new requests to an upstream, so that it can be released.
     *
     * @param zone availability zone
     * @param upstreamId upstream
     */
    record Drain(String zone, String upstreamId) implements ScalingDecision {}

    /**
     * Order the release of a drained upstream.
     *
     * @param zone availability zone
     * @param upstreamId upstream
     */
    record Release(String zone, String upstreamId) implements ScalingDecision {}
}
