package org.cranberrybend.router.dispatch;

import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;

/** An attempt failed: the upstream gave no usable response or rejected the request. */
final class UpstreamFailure extends Exception {
    private static final long serialVersionUID = 1L;

    private final SlotResult result;
    private final boolean byteMayHaveBeenSent;
    private final boolean notRun;
    private final long timeoutMs;
    private boolean discontinuous;

    private UpstreamFailure(
            String message, SlotResult result, boolean byteMayHaveBeenSent, boolean notRun, long timeoutMs) {
        super(message);
        this.result = result;
        this.byteMayHaveBeenSent = byteMayHaveBeenSent;
        this.notRun = notRun;
        this.timeoutMs = timeoutMs;
    }

    /** No byte of the request was passed to the operating system. */
    static UpstreamFailure notSent(String message) {
        return new UpstreamFailure(message, SlotResult.FAILED, false, true, 0);
    }

    /** The upstream rejected the request without executing it. */
    static UpstreamFailure rejected(boolean leaving) {
        return new UpstreamFailure(
                leaving ? "it is leaving" : "it refused the request",
                leaving ? SlotResult.LEAVING : SlotResult.REFUSED,
                true,
                true,
                0);
    }

    /** The connection failed or the response was unusable after a byte may have been sent. */
    static UpstreamFailure outcomeUnknown(String message) {
        return new UpstreamFailure(message, SlotResult.FAILED, true, false, 0);
    }

    /** No byte was received for the given time. */
    static UpstreamFailure timeout(long timeoutMs) {
        return new UpstreamFailure("no answer", SlotResult.FAILED, true, false, timeoutMs);
    }

    /**
     * A resumed stream does not continue where the interrupted one ended; the caller may have received wrong tokens.
     */
    static UpstreamFailure discontinuous(long tokens) {
        UpstreamFailure failure = outcomeUnknown("the resumed stream does not continue at token " + tokens);
        failure.discontinuous = true;
        return failure;
    }

    boolean isDiscontinuous() {
        return discontinuous;
    }

    SlotResult result() {
        return result;
    }

    boolean mayHaveBeenSent() {
        return byteMayHaveBeenSent;
    }

    boolean isNotRun() {
        return notRun;
    }

    /** Returns the error for a caller whose response has not started. */
    RequestFailedException toCallerError() {
        if (notRun) {
            return RequestFailedException.notRunRetryAfter(1_000, ErrorCode.UPSTREAM_FAILED, getMessage());
        }
        return timeoutMs > 0
                ? RequestFailedException.outcomeUnknown(ErrorCode.UPSTREAM_TIMEOUT, timeoutMs)
                : RequestFailedException.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, getMessage());
    }
}
