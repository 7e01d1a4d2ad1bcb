package org.cranberrybend.standins.platform;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * An upstream order as received.
 *
 * @param orderId identifier chosen by the sender; repeated orders keep it
 * @param fencingNumber fencing number of the sender's lease; recorded and not checked
 * @param action {@code start} or {@code stop}
 * @param market {@code guaranteed} or {@code preemptible}
 * @param model model to be served; null for a stop
 * @param upstreamId upstream to be stopped; of a start, the upstream that it created
 * @param zone availability zone
 * @param state see {@link OrderProcessor}
 * @param receivedMs wall clock of the receipt, in milliseconds since the epoch
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
    /** Returns the order as accepted, with its place, result and time. */
    UpstreamOrder accepted(String acceptedZone, String newState, String newUpstreamId, long nowMs) {
        return new UpstreamOrder(
                orderId, fencingNumber, action, market, model, newUpstreamId, acceptedZone, newState, nowMs);
    }
}
