package org.cranberrybend.core.retry;

/** What happens to a request with an Idempotency-Key. */
public enum IdempotencyDecision {
    /** No record exists: reserve the key and run the request. */
    FIRST_RUN,
    /** Answer with the stored response. */
    REPLAY,
    /** The first run may still be in progress. */
    IN_PROGRESS,
    /** The key was used with a different request. */
    MISMATCH,
    /** The first run was sent and its outcome is not known; permanent. */
    OUTCOME_UNKNOWN,
    /** The first run was answered, but its response is not stored. */
    RESPONSE_NOT_STORED,
    /** The record cannot be read, so the request could run twice: it is refused. */
    STORE_UNAVAILABLE
}
