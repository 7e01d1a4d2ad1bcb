package org.cranberrybend.core.routing;

/**
 * Token bucket that limits the bytes that one process sends over the inter-region link, which is slow and billed.
 *
 * <p>Edge cases: a response that is longer than estimated may overdraw the bucket, because a running stream is not
 * interrupted. The bucket must be refilled above 0 before anything else is sent. A clock that goes back adds no bytes.
 */
public final class LinkBudget {
    private final double bytesPerSecond;
    private final double burstBytes;
    /** At most {@code burstBytes}; negative while overdrawn. */
    private double availableBytes;

    private long refilledMs;

    /** Creates a full bucket. */
    public LinkBudget(double bytesPerSecond, double burstBytes, long nowMs) {
        if (bytesPerSecond < 0 || burstBytes < 0) {
            throw new IllegalArgumentException(
                    "link budget must not be negative: " + bytesPerSecond + " bytes/s, burst " + burstBytes);
        }
        this.bytesPerSecond = bytesPerSecond;
        this.burstBytes = burstBytes;
        this.availableBytes = burstBytes;
        this.refilledMs = nowMs;
    }

    /** Returns whether the given number of bytes may be sent now. */
    public boolean allows(long bytes, long nowMs) {
        refill(nowMs);
        return availableBytes >= bytes;
    }

    /** Acquires the given number of bytes if they may be sent now, and returns whether it did. */
    public boolean tryAcquire(long bytes, long nowMs) {
        boolean allowed = allows(bytes, nowMs);
        if (allowed) {
            availableBytes -= bytes;
        }
        return allowed;
    }

    /** Charges bytes that were sent beyond the acquired ones, or refunds unused ones if negative. */
    public void adjust(long bytes, long nowMs) {
        refill(nowMs);
        availableBytes = Math.min(burstBytes, availableBytes - bytes);
    }

    private void refill(long nowMs) {
        if (nowMs > refilledMs) {
            availableBytes = Math.min(burstBytes, availableBytes + (nowMs - refilledMs) * bytesPerSecond / 1_000);
            refilledMs = nowMs;
        }
    }
}
