package org.cranberrybend.controller.configuration;

/**
 * Thrown when the key-value store has a configuration whose history contradicts the accepted one. An operator must
 * resolve the conflict.
 */
public final class ConfigurationDivergedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for the stored and the accepted revision. */
    public ConfigurationDivergedException(long storedRevision, long acceptedRevision) {
        super("the key-value store has revision " + storedRevision + " with a different history than accepted revision "
                + acceptedRevision);
    }
}
