package org.cranberrybend.experiment.check;

/** Thrown when the fleet does not behave as a check expects. */
public final class CheckFailedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; the reason is printed after the name of the check. */
    public CheckFailedException(String reason) {
        super(reason);
    }
}
