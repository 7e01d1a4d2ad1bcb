package org.cranberrybend.core.admission;

import java.util.Set;
import org.cranberrybend.core.account.RequestClass;

/**
 * What the owner of a pool shard knows of a request that waits for a slot.
 *
 * @param requestId identifier of the request
 * @param service name of the model or plain service
 * @param requestClass class with tier, targets and guaranteed share
 * @param clientAccount name of the client account
 * @param weightRatio weight of the client account in the fair division of capacity
 * @param promptTokens estimated prompt tokens
 * @param expectedOutputTokens estimated output tokens
 * @param arrivalMs when the entry router accepted the request, on the owner's monotonic clock in milliseconds
 * @param deadlineMs when the request is given up, on the owner's monotonic clock in milliseconds
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

    /** Returns when the first token is due, on the clock of {@code arrivalMs}. */
    public long firstTokenDueMs() {
        return arrivalMs + requestClass.firstTokenTargetMs();
    }

    /** Returns the tokens charged to the client account on dispatch. */
    public long expectedTokens() {
        return promptTokens + expectedOutputTokens;
    }
}
