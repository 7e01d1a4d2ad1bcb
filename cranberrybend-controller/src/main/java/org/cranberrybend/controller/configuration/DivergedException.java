package org.cranberrybend.controller.configuration;

/** The key-value service holds a configuration whose history contradicts the accepted one; an operator must decide. */
public final class DivergedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with both revisions. */
    public DivergedException(long storedRevision, long acceptedRevision) {
        super("the key-value service holds revision " + storedRevision
                + " with a different history than accepted revision " + acceptedRevision);
    }
}
