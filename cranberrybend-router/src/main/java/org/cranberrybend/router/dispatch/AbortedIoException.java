package org.cranberrybend.router.dispatch;

import java.io.IOException;

/** Carries a {@link CallAbortedException} through the HTTP parser. */
final class AbortedIoException extends IOException {
    private static final long serialVersionUID = 1L;

    private final CallAbortedException abortion;

    AbortedIoException(CallAbortedException abortion) {
        super(abortion);
        this.abortion = abortion;
    }

    CallAbortedException abortion() {
        return abortion;
    }
}
