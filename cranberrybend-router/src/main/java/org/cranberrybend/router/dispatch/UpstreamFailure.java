package org.cranberrybend.router.dispatch;

import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;

/** An upstream gave no usable answer. */
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

    /** No byte of the request was handed to the kernel. */
    static UpstreamFailure unsent(String message) {
        return new UpstreamFailure(message, SlotResult.FAILED, false, true, 0);
    }

    /** The upstream itself said that it did not run the request. */
    static UpstreamFailure refused(boolean leaving) {
        return new UpstreamFailure(
                leaving ? "it is leaving" : "it refused the request",
                leaving ? SlotResult.LEAVING : SlotResult.REFUSED,
                true,
                true,
                0);
    }

    /** The connection failed or the answer was unusable, after a byte may have been sent. */
    static UpstreamFailure broken(String message) {
        return new UpstreamFailure(message, SlotResult.FAILED, true, false, 0);
    }

    /** No byte came for the given time. */
    static UpstreamFailure timeout(long timeoutMs) {
        return new UpstreamFailure("no answer", SlotResult.FAILED, true, false, timeoutMs);
    }

    /** A resumed stream does not continue where the interrupted one ended; the caller may hold wrong tokens. */
    static UpstreamFailure discontinuous(long tokens) {
        UpstreamFailure failure = broken("the resumed stream does not continue at token " + tokens);
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

    /** Returns the error for a caller to whom nothing was sent. */
    RequestFailedException toCallerError() {
        if (notRun) {
            return RequestFailedException.notRunRetryAfter(1_000, ErrorCode.UPSTREAM_FAILED, getMessage());
        }
        return timeoutMs > 0
                ? RequestFailedException.outcomeUnknown(ErrorCode.UPSTREAM_TIMEOUT, timeoutMs)
                : RequestFailedException.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, getMessage());
    }
}
