package org.cranberrybend.runtime.platform;

/** What is known about the effect of a failed call to the platform. */
public enum CallOutcome {
    /** The platform did not carry out the call: it refused it, or no connection could be opened. */
    NOT_ACCEPTED,
    /** The call may have taken effect, for example because its response was lost. */
    UNKNOWN
}
