package org.cranberrybend.entry.configuration;

import java.util.Map;

/**
 * The parameters by which upstreams of one service are ordered.
 *
 * @param min smallest number of upstreams in a zone
 * @param max largest number of upstreams in a zone
 * @param startMs time from the order of an upstream until it serves requests, in milliseconds
 * @param preemptiblePriceRatio price of a preemptible upstream relative to a guaranteed one; 0 if there are none
 * @param zonePrices relative price of an upstream by availability zone
 */
public record ScalingBounds(
        int min, int max, long startMs, double preemptiblePriceRatio, Map<String, Double> zonePrices) {
    public ScalingBounds {
        zonePrices = Map.copyOf(zonePrices);
        if (min < 0 || max < min) {
            throw new IllegalArgumentException(
                    "scaling bounds must satisfy 0 <= min <= max: min " + min + ", max " + max);
        }
    }
}
