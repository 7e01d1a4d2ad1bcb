package org.cranberrybend.runtime.lifecycle;

/** Thrown if a service cannot start. */
public final class ServiceException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the reason shown to the operator. */
    public ServiceException(String message, Throwable cause) {
        super(message, cause);
    }
}
