package org.cranberrybend.entry.http;

/** Limits the total size of the messages of one kind that a process holds in memory. Confined to one event loop. */
public final class MessageMemoryLimit {
    private final long limitBytes;
    private long usedBytes;

    /** Creates the limit of a process. */
    public MessageMemoryLimit(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    boolean tryAcquire(long bytes) {
        return tryAcquire(bytes, 1.0);
    }

    /** Acquires bytes if at most the given share of the limit is in use afterwards; returns whether it did. */
    boolean tryAcquire(long bytes, double share) {
        if (usedBytes + bytes > limitBytes * share) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    void release(long bytes) {
        usedBytes -= bytes;
    }

    /** Returns the limit in bytes. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns the number of bytes that are currently reserved. */
    public long usedBytes() {
        return usedBytes;
    }
}
