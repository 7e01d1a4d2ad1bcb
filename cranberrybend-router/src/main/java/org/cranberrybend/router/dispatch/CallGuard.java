package org.cranberrybend.router.dispatch;

/** Asked repeatedly while a call waits for its upstream. */
@FunctionalInterface
interface CallGuard {
    /** Guard of calls that must complete once they were sent. */
    CallGuard NONE = () -> {};

    /** Returns normally if the call is still wanted. */
    void check() throws CallAbortedException;
}
