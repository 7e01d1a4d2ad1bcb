package org.cranberrybend.experiment.check;

/** A check did not see what it expected. */
public final class CheckFailedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the reason shown after the check's name. */
    public CheckFailedException(String reason) {
        super(reason);
    }
}
