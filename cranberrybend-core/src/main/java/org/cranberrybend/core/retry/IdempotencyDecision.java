package org.cranberrybend.core.retry;

/** Decision about a request with an Idempotency-Key. */
public enum IdempotencyDecision {
    /** No record exists; the key is reserved and the request is sent. */
    FIRST_RUN,
    /** The stored response is returned. */
    REPLAY,
    /** The first request with the key may still be in progress. */
    IN_PROGRESS,
    /** The key was used with a different request. */
    MISMATCH,
    /** The first request was sent and its outcome is not known. This never changes. */
    OUTCOME_UNKNOWN,
    /** The first request was completed, but its response is not stored. */
    RESPONSE_NOT_STORED,
    /** The record cannot be read. The request is refused, because it could be executed twice. */
    STORE_UNAVAILABLE
}
