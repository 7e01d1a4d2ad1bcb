package org.cranberrybend.core.admission;

/** How the use of a slot ended; tells the owner about the upstream's health. */
public enum SlotResult {
    /** The upstream answered in full. */
    COMPLETED(false, false),
    /** The caller disconnected or the request was withdrawn. */
    CANCELLED(false, false),
    /** The upstream failed, timed out or sent an incomplete answer. */
    FAILED(true, false),
    /** The upstream said that it is overloaded and did not run the request. */
    REFUSED(true, false),
    /** The upstream said that it is leaving. */
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
