package org.cranberrybend.core.lease;

import java.util.Optional;

/**
 * Decides whether a process may act under a lease.
 *
 * <p>The expiry counts from before the grant or renewal was sent, on the monotonic clock, less a safety margin; so it
 * lies before the expiry at the platform however long the response took. A write is covered by a check that is at most
 * one safety margin old; an older check means that the process was paused. All times are readings of one monotonic
 * clock in milliseconds.
 *
 * <p>Not thread-safe.
 */
public final class LeaseGuard {
    private final LeaseTimes times;
    /** Null while no lease is held. */
    private FencingNumber fencingNumber;

    private long expiryMs;
    private long firstWriteMs;

    /** Creates the guard of a lease that is not held yet. */
    public LeaseGuard(LeaseTimes times) {
        this.times = times;
    }

    /** Takes note of a grant that was asked for and received at the given times. */
    public void recordAcquired(FencingNumber number, long sentAtMs, long receivedAtMs) {
        fencingNumber = number;
        expiryMs = sentAtMs + times.ttlMs();
        // The predecessor's lease ended before the grant, which was made before it was received.
        firstWriteMs = receivedAtMs + times.takeoverDelayMs();
    }

    /** Takes note of a renewal that was asked for at the given time. */
    public void recordRenewed(long sentAtMs) {
        expiryMs = Math.max(expiryMs, sentAtMs + times.ttlMs());
    }

    /** Takes note that the lease was lost or given back. */
    public void recordLost() {
        fencingNumber = null;
    }

    /** Returns whether a lease was granted and neither lost nor expired; the safety margin is not considered. */
    public boolean isHeld(long nowMs) {
        return fencingNumber != null && nowMs < expiryMs;
    }

    /** Returns a check if the lease may be used now. */
    public Optional<LeaseCheck> check(long nowMs) {
        boolean valid = fencingNumber != null && nowMs < expiryMs - times.safetyMarginMs();
        return valid ? Optional.of(new LeaseCheck(fencingNumber, nowMs)) : Optional.empty();
    }

    /** Returns whether a check still covers a write that begins now: the lease is valid and no pause lies between. */
    public boolean covers(LeaseCheck check, long nowMs) {
        return nowMs - check.checkedAtMs() <= times.safetyMarginMs()
                && check(nowMs)
                        .filter(now -> now.fencingNumber().equals(check.fencingNumber()))
                        .isPresent();
    }

    /** Returns whether a predecessor that was paused can no longer write, so that this holder may do so. */
    public boolean isTakeoverDelayOver(long nowMs) {
        return fencingNumber != null && nowMs >= firstWriteMs;
    }
}
