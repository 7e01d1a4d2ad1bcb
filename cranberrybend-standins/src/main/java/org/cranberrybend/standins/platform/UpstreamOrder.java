package org.cranberrybend.standins.platform;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * An upstream order as received.
 *
 * @param orderId identifier chosen by the sender; the same when an order is repeated
 * @param fencingNumber fencing number of the sender's lease; recorded but not checked
 * @param action {@code start} or {@code stop}
 * @param market {@code guaranteed} or {@code preemptible}
 * @param model model, or name of the plain service, to start; null for a stop order
 * @param upstreamId upstream to stop; for a start order, the upstream that was started
 * @param zone availability zone
 * @param state see {@link OrderProcessor}
 * @param receivedMs time of arrival on the wall clock, in milliseconds since the epoch
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record UpstreamOrder(
        String orderId,
        Long fencingNumber,
        String action,
        String market,
        String model,
        String upstreamId,
        String zone,
        String state,
        Long receivedMs) {
    /** Returns a copy with the zone, the resulting state, the upstream and the time of arrival. */
    UpstreamOrder accepted(String acceptedZone, String newState, String newUpstreamId, long nowMs) {
        return new UpstreamOrder(
                orderId, fencingNumber, action, market, model, newUpstreamId, acceptedZone, newState, nowMs);
    }
}
