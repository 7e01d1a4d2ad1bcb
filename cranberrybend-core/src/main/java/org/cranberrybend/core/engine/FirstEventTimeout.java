package org.cranberrybend.core.engine;

/**
 * Time without a byte after which an engine that owes the first event of a stream counts as unresponsive. Confined to
 * one thread.
 */
public final class FirstEventTimeout {
    private static final long TIMEOUT_MS = 1_000;

    /** Records the time from sending to the first event, or to the end of an attempt that was abandoned before. */
    public void record(double elapsedMs) {
        // The timeout is fixed.
    }

    /** Returns the timeout in milliseconds. */
    public long timeoutMs() {
        return TIMEOUT_MS;
    }
}
