package org.cranberrybend.core.lease;

import java.util.Optional;

/**
 * Decides whether a process may act under a lease.
 *
 * <p>The expiry is computed from the time at which the acquisition or renewal was sent, so it is before the expiry at
 * the platform however long the response took. The lease is not used for a safety margin before that. A write is
 * covered by a check that is at most one safety margin old; if the check is older, the process was paused. All times
 * are readings of the same monotonic clock in milliseconds.
 *
 * <p>Not thread-safe.
 */
public final class LeaseGuard {
    private final LeaseTimes times;
    /** Fencing number of the lease, or null if it was never acquired or was lost. */
    private FencingNumber fencingNumber;

    private long expiryMs;
    private long earliestWriteMs;

    /** Creates the guard of a lease that is not held. */
    public LeaseGuard(LeaseTimes times) {
        this.times = times;
    }

    /** Records an acquisition that was requested and received at the given times. */
    public void recordAcquired(FencingNumber number, long sentAtMs, long receivedAtMs) {
        fencingNumber = number;
        expiryMs = sentAtMs + times.ttlMs();
        // The predecessor's lease had ended when the platform made the grant, so the delay may count from its receipt.
        earliestWriteMs = receivedAtMs + times.takeoverDelayMs();
    }

    /** Records a successful renewal that was requested at the given time. */
    public void recordRenewed(long sentAtMs) {
        expiryMs = Math.max(expiryMs, sentAtMs + times.ttlMs());
    }

    /** Records that the lease was lost or released. */
    public void recordLost() {
        fencingNumber = null;
    }

    /** Returns whether the lease is held and not expired, without regard to the safety margin. */
    public boolean isHeld(long nowMs) {
        return fencingNumber != null && nowMs < expiryMs;
    }

    /** Returns a check if the lease is valid now, and empty otherwise or within the safety margin before its expiry. */
    public Optional<LeaseCheck> check(long nowMs) {
        boolean valid = fencingNumber != null && nowMs < expiryMs - times.safetyMarginMs();
        return valid ? Optional.of(new LeaseCheck(fencingNumber, nowMs)) : Optional.empty();
    }

    /**
     * Returns whether a check covers a write that starts now: the same lease is valid and the check is recent enough.
     */
    public boolean covers(LeaseCheck check, long nowMs) {
        return nowMs - check.checkedAtMs() <= times.safetyMarginMs()
                && check(nowMs)
                        .filter(now -> now.fencingNumber().equals(check.fencingNumber()))
                        .isPresent();
    }

    /** Returns whether a paused predecessor can no longer write, so that this lease holder may start to. */
    public boolean isTakeoverDelayOver(long nowMs) {
        return fencingNumber != null && nowMs >= earliestWriteMs;
    }
}
