package org.cranberrybend.core.admission;

import java.util.Set;
import org.cranberrybend.core.account.RequestClass;

/**
 * A request for a slot, as received by the owner of a pool shard.
 *
 * @param requestId identifier of the request
 * @param service name of the model or plain service
 * @param requestClass class with tier, targets and guaranteed share
 * @param clientAccount name of the client account
 * @param weightRatio weight of the client account in fair queueing
 * @param promptTokens estimated prompt tokens
 * @param expectedOutputTokens estimated output tokens; may be the caller's limit
 * @param arrivalMs when the entry router accepted the request, on the owner's monotonic clock in milliseconds
 * @param deadlineMs when the request expires, on the owner's monotonic clock in milliseconds
 * @param excludedUpstreams upstreams that already failed this request
 */
public record QueuedRequest(
        String requestId,
        String service,
        RequestClass requestClass,
        String clientAccount,
        double weightRatio,
        long promptTokens,
        long expectedOutputTokens,
        long arrivalMs,
        long deadlineMs,
        Set<String> excludedUpstreams) {
    public QueuedRequest {
        excludedUpstreams = Set.copyOf(excludedUpstreams);
        if (promptTokens < 0 || expectedOutputTokens < 0) {
            throw new IllegalArgumentException("token counts must not be negative");
        }
    }

    /** Returns when the first token is due, in milliseconds on the same clock as {@code arrivalMs}. */
    public long firstTokenDueMs() {
        return arrivalMs + requestClass.firstTokenTargetMs();
    }

    /** Returns the estimated prompt tokens plus the expected output tokens. */
    public long expectedTokens() {
        return promptTokens + expectedOutputTokens;
    }
}
