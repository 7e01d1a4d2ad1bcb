package org.cranberrybend.router.accept;

import java.io.IOException;

/** The caller's connection failed or was closed; nothing more can be sent to it. */
public final class CallerDisconnectedException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the failure of the connection. */
    public CallerDisconnectedException(Throwable cause) {
        super("caller disconnected", cause);
    }
}
