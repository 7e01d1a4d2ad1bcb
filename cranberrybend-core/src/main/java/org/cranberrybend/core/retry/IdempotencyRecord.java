package org.cranberrybend.core.retry;

import java.util.Optional;

/**
 * Stored state of an Idempotency-Key of one client account and route.
 *
 * <p>A record is never removed once the request may have been sent. That includes responses with status 5xx, because
 * the upstream may have failed after the request took effect.
 *
 * @param state what is known about the first request with the key
 * @param requestDigest digest of method, target and body of the request
 * @param requestId identifier of the first request
 * @param expiresAtMs wall clock time in milliseconds after which a reservation has an unknown outcome
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

    /** Returns the record that is written before the request is sent. */
    public static IdempotencyRecord reservation(String requestDigest, String requestId, long expiresAtMs) {
        return new IdempotencyRecord(IdempotencyState.RESERVED, requestDigest, requestId, expiresAtMs, 0, null, null);
    }

    /** Returns the record of a completed request; {@code newBodyBase64} is null if the body is not stored. */
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

    /** Returns the record of a request whose outcome will never be known. */
    public IdempotencyRecord outcomeUnknown() {
        return new IdempotencyRecord(
                IdempotencyState.OUTCOME_UNKNOWN, requestDigest, requestId, expiresAtMs, 0, null, null);
    }

    /**
     * Decides what to do with a request that carries an Idempotency-Key.
     *
     * @param stored record of the key in the store, or empty if there is none
     * @param requestDigest digest of the request
     * @param nowMs wall clock time in milliseconds
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
