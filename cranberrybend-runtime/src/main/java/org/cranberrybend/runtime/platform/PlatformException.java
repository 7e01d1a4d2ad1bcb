package org.cranberrybend.runtime.platform;

/** A call to the platform failed or its response was not understood. The call may have taken effect. */
public final class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with what was called and why it failed. */
    public PlatformException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates the exception for an unexpected status. */
    public PlatformException(String call, int status) {
        super(call + " was answered with status " + status);
    }
}
