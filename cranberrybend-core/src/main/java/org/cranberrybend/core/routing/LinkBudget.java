package org.cranberrybend.core.routing;

/**
 * A token bucket for the bytes that one process may send over the link between regions, which is slow and billed.
 *
 * <p>Edge cases: a response longer than announced may overdraw the bucket, since a running stream is not ended for it;
 * the debt is paid off before anything else is sent. A clock that goes back adds nothing.
 */
public final class LinkBudget {
    private final double bytesPerSecond;
    private final double burstBytes;
    /** At most the burst; negative while overdrawn. */
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

    /** Takes the given number of bytes if they may be sent now; returns whether it did. */
    public boolean tryAcquire(long bytes, long nowMs) {
        boolean allowed = allows(bytes, nowMs);
        if (allowed) {
            availableBytes -= bytes;
        }
        return allowed;
    }

    /** Charges bytes that were sent beyond those taken, or returns unused ones if negative. */
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
