package org.cranberrybend.controller.testing;

/** What happens to one call to a fake of the platform. */
public enum StoreFault {
    NONE,
    /** The call has no effect, and the caller does not know it. */
    NOT_REACHED,
    /** The call takes effect, and the caller does not know it. */
    LOST_RESPONSE,
    /** The call is refused and has no effect. */
    REFUSED
}
