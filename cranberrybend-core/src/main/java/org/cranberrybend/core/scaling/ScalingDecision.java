package org.cranberrybend.core.scaling;

import org.cranberrybend.core.routing.Market;

/** One step towards the target number of upstreams in an availability zone. */
public sealed interface ScalingDecision {
    /** Returns the availability zone of the decision. */
    String zone();

    /**
     * Order the start of one upstream.
     *
     * @param zone availability zone
     * @param market market in which it is ordered
     */
    record Start(String zone, Market market) implements ScalingDecision {}

    /**
     * Drain an upstream: send no new requests to it, so that it can be released.
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
