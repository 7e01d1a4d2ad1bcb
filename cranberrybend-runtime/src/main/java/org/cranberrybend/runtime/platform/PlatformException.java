package org.cranberrybend.runtime.platform;

import java.net.ConnectException;

/** A call to the platform failed or its response was not understood; {@link #outcome()} tells what may be assumed. */
public final class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    private final CallOutcome outcome;

    /** Creates the exception with what was called and why it failed. */
    public PlatformException(String message, Throwable cause) {
        super(message, cause);
        // A refused connection carried no byte of the request; every other failure may follow the effect.
        this.outcome = cause instanceof ConnectException ? CallOutcome.NOT_ACCEPTED : CallOutcome.UNKNOWN;
    }

    /** Creates the exception for an unexpected status. A 5xx status may follow the effect of the call. */
    public PlatformException(String call, int status) {
        super(call + " was answered with status " + status);
        this.outcome = status / 100 == 4 ? CallOutcome.NOT_ACCEPTED : CallOutcome.UNKNOWN;
    }

    /** Creates the exception with a known outcome. */
    public PlatformException(String message, CallOutcome outcome) {
        super(message);
        this.outcome = outcome;
    }

    /** Returns whether the call may have taken effect. */
    public CallOutcome outcome() {
        return outcome;
    }
}
