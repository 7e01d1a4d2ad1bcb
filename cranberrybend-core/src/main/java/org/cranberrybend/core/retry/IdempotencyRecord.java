package org.cranberrybend.core.retry;

import java.util.Optional;

/**
 * Stored state of one Idempotency-Key of one client account and route.
 *
 * <p>A record is never removed once the request may have been sent, not even after an answer with status 5xx, because
 * a 5xx may follow the effect.
 *
 * @param state what is known about the run
 * @param requestDigest digest of method, target and body of the request
 * @param requestId request identifier of the first run
 * @param expiresAtMs wall clock after which a reservation without outcome counts as lost, in milliseconds
 * @param status HTTP status of the stored response; 0 if there is none
 * @param contentType content type of the stored response; may be null
 * @param bodyBase64 body of the stored response; null if it is not stored
 */
public record IdempotencyRecord(
        IdempotencyState state,
        String requestDigest,
        String requestId,
        long expiresAtMs,
        int status,
        String contentType,
        String bodyBase64) {
    public IdempotencyRecord {
        if (state == null || requestDigest == null || requestId == null) {
            throw new IllegalArgumentException("state, request_digest and request_id must be present");
        }
        if (state != IdempotencyState.COMPLETED && bodyBase64 != null) {
            throw new IllegalArgumentException("only a completed record holds a response");
        }
    }

    /** Returns the record written before the request is sent. */
    public static IdempotencyRecord reservation(String requestDigest, String requestId, long expiresAtMs) {
        return new IdempotencyRecord(IdempotencyState.RESERVED, requestDigest, requestId, expiresAtMs, 0, null, null);
    }

    /** Returns the record of a run that was answered; {@code newBodyBase64} is null if the body is not stored. */
    public IdempotencyRecord completed(int newStatus, String newContentType, String newBodyBase64) {
        return new IdempotencyRecord(
                IdempotencyState.COMPLETED,
                requestDigest,
                requestId,
                expiresAtMs,
                newStatus,
                newContentType,
                newBodyBase64);
    }

    /** Returns the record of a run whose outcome will never be known. */
    public IdempotencyRecord outcomeUnknown() {
        return new IdempotencyRecord(
                IdempotencyState.OUTCOME_UNKNOWN, requestDigest, requestId, expiresAtMs, 0, null, null);
    }

    /**
     * Decides about a request.
     *
     * @param stored record read from the store, or empty if there is none
     * @param requestDigest digest of the request
     * @param nowMs wall clock in milliseconds
     */
    public static IdempotencyDecision decide(Optional<IdempotencyRecord> stored, String requestDigest, long nowMs) {
        if (stored.isEmpty()) {
            return IdempotencyDecision.FIRST_RUN;
        }
        IdempotencyRecord record = stored.get();
        if (!record.requestDigest.equals(requestDigest)) {
            return IdempotencyDecision.MISMATCH;
        }
        if (record.state == IdempotencyState.COMPLETED) {
            return record.bodyBase64 == null ? IdempotencyDecision.RESPONSE_NOT_STORED : IdempotencyDecision.REPLAY;
        }
        boolean mayStillRun = record.state == IdempotencyState.RESERVED && nowMs < record.expiresAtMs;
        return mayStillRun ? IdempotencyDecision.IN_PROGRESS : IdempotencyDecision.OUTCOME_UNKNOWN;
    }
}
