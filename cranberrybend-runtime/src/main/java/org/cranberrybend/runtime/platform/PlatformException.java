package org.cranberrybend.runtime.platform;

import java.net.ConnectException;

/**
 * Thrown if a call to the platform failed or its response could not be parsed; {@link #outcome()} states whether the
 * call may have taken effect.
 */
public final class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    private final CallOutcome outcome;

    /** Creates the exception with a message that names the call and the reason; the cause determines the outcome. */
    public PlatformException(String message, Throwable cause) {
        super(message, cause);
        // On a refused connection no byte of the request was sent; after other errors it may have taken effect.
        this.outcome = cause instanceof ConnectException ? CallOutcome.NOT_ACCEPTED : CallOutcome.UNKNOWN;
    }

    /** Creates the exception for an unexpected status. With any status but 4xx, the call may have taken effect. */
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
