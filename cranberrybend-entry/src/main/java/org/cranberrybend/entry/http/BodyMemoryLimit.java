package org.cranberrybend.entry.http;

/** Bounds the bytes of all request bodies that a process holds at the same time. Confined to one event loop. */
public final class BodyMemoryLimit {
    private final long limitBytes;
    private long usedBytes;

    /** Creates the bound of a process. */
    public BodyMemoryLimit(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    boolean tryTake(long bytes) {
        if (usedBytes + bytes > limitBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    void release(long bytes) {
        usedBytes -= bytes;
    }

    /** Returns the bytes held at present. */
    public long usedBytes() {
        return usedBytes;
    }
}
