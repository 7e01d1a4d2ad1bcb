package org.cranberrybend.runtime.platform;

/** Whether a failed call to the platform may have taken effect. */
public enum CallOutcome {
    /** The platform did not execute the call: it rejected it, or the connection was refused. */
    NOT_ACCEPTED,
    /** The call may have taken effect, for example because its response was lost. */
    UNKNOWN
}
