package org.cranberrybend.runtime.platform;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An order to start or stop an upstream.
 *
 * @param orderId identifier chosen by the sender, unique across all zones
 * @param fencingNumber fencing number of the sender's lease
 * @param action {@code start} or {@code stop}
 * @param market {@code guaranteed} or {@code preemptible}
 * @param model model or plain service
 * @param upstreamId upstream to stop; empty for a start
 */
public record UpstreamOrder(
        String orderId, long fencingNumber, String action, String market, String model, String upstreamId) {
    /** Returns the fields sent to the platform. */
    public Map<String, Object> toJsonFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("order_id", orderId);
        fields.put("fencing_number", fencingNumber);
        fields.put("action", action);
        fields.put("market", market);
        fields.put("model", model);
        if (!upstreamId.isEmpty()) {
            fields.put("upstream_id", upstreamId);
        }
        return fields;
    }
}
