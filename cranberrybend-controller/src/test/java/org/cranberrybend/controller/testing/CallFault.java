package org.cranberrybend.controller.testing;

/** Fault of one call to a fake of the platform. */
public enum CallFault {
    NONE,
    /** The call has no effect, and its outcome is unknown to the caller. */
    NOT_REACHED,
    /** The call takes effect, but its outcome is unknown to the caller. */
    LOST_RESPONSE,
    /** The call is rejected and has no effect. */
    REFUSED
}
