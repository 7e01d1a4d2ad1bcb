package org.cranberrybend.core.admission;

import org.cranberrybend.core.error.ErrorCode;

/**
 * What a {@link DispatchQueue} decided about one request. Every offered request gets exactly one decision.
 *
 * <p>All decisions but {@link Granted} mean that the request was not run by this owner.
 */
public sealed interface AdmissionDecision {
    /** Returns the identifier of the request. */
    String requestId();

    /** The request may be sent; its slot is in use until released. */
    record Granted(SlotGrant grant) implements AdmissionDecision {
        @Override
        public String requestId() {
            return grant.requestId();
        }
    }

    /**
     * The request is not served.
     *
     * @param requestId identifier of the request
     * @param code {@code SHED}, {@code TARGET_UNREACHABLE} or {@code NO_UPSTREAM}
     * @param retryAfterMs when a further attempt is worthwhile, in milliseconds
     */
    record Refused(String requestId, ErrorCode code, long retryAfterMs) implements AdmissionDecision {}

    /** The request's deadline passed while it waited; its caller has given up. */
    record Expired(String requestId) implements AdmissionDecision {}

    /** The request was withdrawn while it waited. */
    record Cancelled(String requestId) implements AdmissionDecision {}
}
