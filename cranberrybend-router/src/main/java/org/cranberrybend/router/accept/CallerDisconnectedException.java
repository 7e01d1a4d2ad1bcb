package org.cranberrybend.router.accept;

import java.io.IOException;

/** The caller's connection failed or was closed; no further data can be sent. */
public final class CallerDisconnectedException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the connection failure as cause. */
    public CallerDisconnectedException(Throwable cause) {
        super("caller disconnected", cause);
    }
}
