package org.cranberrybend.router.dispatch;

import java.io.IOException;

/** Wraps a {@link CallAbortedException} so that it can pass through the HTTP parser. */
final class CallAbortedIoException extends IOException {
    private static final long serialVersionUID = 1L;

    private final CallAbortedException callAborted;

    CallAbortedIoException(CallAbortedException callAborted) {
        super(callAborted);
        this.callAborted = callAborted;
    }

    CallAbortedException callAborted() {
        return callAborted;
    }
}
