package org.cranberrybend.router.dispatch;

/** Decides whether to abort a call; called periodically while the call waits for its upstream. */
@FunctionalInterface
interface CallAbortCheck {
    /** Never aborts; for calls that must complete once they were sent. */
    CallAbortCheck NONE = () -> {};

    /** Returns normally if the call is to continue. */
    void check() throws CallAbortedException;
}
