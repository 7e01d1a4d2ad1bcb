package org.cranberrybend.standins.fleet;

/** Thrown if the local fleet cannot be set up. */
public final class FleetException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the reason shown to the user. */
    public FleetException(String message) {
        super(message);
    }

    /** Creates the exception with the reason shown to the user and its cause. */
    public FleetException(String message, Throwable cause) {
        super(message + ": " + cause.getMessage(), cause);
    }
}
