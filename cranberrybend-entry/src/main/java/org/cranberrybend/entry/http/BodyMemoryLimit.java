package org.cranberrybend.entry.http;

/** Limits the total size of the request bodies that a process holds in memory. Confined to one event loop. */
public final class BodyMemoryLimit {
    private final long limitBytes;
    private long usedBytes;

    /** Creates the limit of a process. */
    public BodyMemoryLimit(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    boolean tryAcquire(long bytes) {
        if (usedBytes + bytes > limitBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    void release(long bytes) {
        usedBytes -= bytes;
    }

    /** Returns the number of bytes that are currently reserved. */
    public long usedBytes() {
        return usedBytes;
    }
}
