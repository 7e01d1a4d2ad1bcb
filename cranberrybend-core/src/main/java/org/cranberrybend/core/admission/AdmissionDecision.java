package org.cranberrybend.core.admission;

import org.cranberrybend.core.error.ErrorCode;

/**
 * Decision of a {@link DispatchQueue} about one request. Every offered request gets exactly one decision.
 *
 * <p>Every decision except {@link Granted} means that this shard owner did not dispatch the request.
 */
public sealed interface AdmissionDecision {
    /** Returns the identifier of the request. */
    String requestId();

    /** The request may be sent. Its slot is in use until it is released. */
    record Granted(SlotGrant grant) implements AdmissionDecision {
        @Override
        public String requestId() {
            return grant.requestId();
        }
    }

    /**
     * The request is not admitted.
     *
     * @param requestId identifier of the request
     * @param code {@code SHED}, {@code TARGET_UNREACHABLE} or {@code NO_UPSTREAM}
     * @param retryAfterMs time after which the caller should retry, in milliseconds
     */
    record Refused(String requestId, ErrorCode code, long retryAfterMs) implements AdmissionDecision {}

    /** The request's deadline passed while it waited, so its response is no longer awaited. */
    record Expired(String requestId) implements AdmissionDecision {}

    /** The request was canceled while it waited. */
    record Cancelled(String requestId) implements AdmissionDecision {}
}
