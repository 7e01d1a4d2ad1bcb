package org.cranberrybend.core.admission;

/** How the use of a slot ended. The shard owner derives the upstream's health from it. */
public enum SlotResult {
    /** The upstream sent a complete response. */
    COMPLETED(false, false),
    /** The caller disconnected or the request was canceled. */
    CANCELLED(false, false),
    /** The upstream failed, timed out or sent an incomplete response. */
    FAILED(true, false),
    /** The upstream rejected the request without executing it, usually because of overload. */
    REFUSED(true, false),
    /** The upstream rejected the request because it is leaving, without executing it. */
    LEAVING(false, true);

    private final boolean failure;
    private final boolean leaving;

    SlotResult(boolean failure, boolean leaving) {
        this.failure = failure;
        this.leaving = leaving;
    }

    /** Returns whether the result counts against the upstream's circuit breaker. */
    public boolean isFailure() {
        return failure;
    }

    /** Returns whether the upstream must receive no new requests. */
    public boolean isLeaving() {
        return leaving;
    }
}
