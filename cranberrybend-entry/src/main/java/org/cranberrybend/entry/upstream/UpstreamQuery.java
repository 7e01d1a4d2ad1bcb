package org.cranberrybend.entry.upstream;

import java.util.Set;
import org.cranberrybend.entry.configuration.LatencyClass;
import org.cranberrybend.entry.configuration.RegionConstraint;

/**
 * What the choice of an upstream for one attempt depends on.
 *
 * @param service service of the request
 * @param prompt prompt of the request; empty for a plain service
 * @param latencyClass class of the request's target latency
 * @param targetLatencyMs target for the time until the response or its first event, in milliseconds
 * @param eventGapTargetMs target for the longest pause between two events, in milliseconds; 0 if there is none
 * @param regions regions in which the request may be processed
 * @param excluded identifiers of the upstreams of earlier attempts of the request
 * @param nowMs monotonic time, in milliseconds
 */
public record UpstreamQuery(
        String service,
        Prompt prompt,
        LatencyClass latencyClass,
        long targetLatencyMs,
        long eventGapTargetMs,
        RegionConstraint regions,
        Set<String> excluded,
        long nowMs) {}
