package org.cranberrybend.router.dispatch;

/** A call to an upstream was aborted because the caller disconnected or its key was revoked. */
public final class CallAbortedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean keyRevoked;

    CallAbortedException(boolean keyRevoked) {
        super(keyRevoked ? "key revoked" : "caller disconnected");
        this.keyRevoked = keyRevoked;
    }

    /** Returns whether the key was revoked; otherwise the caller disconnected. */
    public boolean isKeyRevoked() {
        return keyRevoked;
    }
}
