package org.cranberrybend.wire.node;

import java.util.concurrent.atomic.AtomicLong;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.wire.generated.Envelope;

/**
 * Time of the latest read of the key-value store by any member. Every frame carries its age.
 *
 * <p>A frame may have waited in a buffer, for example while this process was paused, so the difference between the wall
 * clocks of receiver and sender is added to the age in the frame. The difference counts only if it is positive: clock
 * skew can make the age too high by this correction, never too low.
 */
final class StoreConfirmation {
    /** Age in a frame if no read is known to the sender. */
    private static final long UNKNOWN_AGE_MS = -1;

    private static final long NEVER = Long.MIN_VALUE;

    private final TimeSource timeSource;

    /** Monotonic time of the latest known read; never decreases. */
    private final AtomicLong confirmedAtMs = new AtomicLong(NEVER);

    StoreConfirmation(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    void recordRead() {
        advanceTo(timeSource.monotonicMs());
    }

    void observe(Envelope frame) {
        if (frame.getStoreConfirmedAgeMs() >= 0) {
            long delayMs = Math.max(0, timeSource.wallMs() - frame.getHlcWallMs());
            advanceTo(timeSource.monotonicMs() - frame.getStoreConfirmedAgeMs() - delayMs);
        }
    }

    private void advanceTo(long atMs) {
        confirmedAtMs.accumulateAndGet(atMs, Math::max);
    }

    /** Returns the age, or {@link Long#MAX_VALUE} if no read is known. */
    long ageMs() {
        long atMs = confirmedAtMs.get();
        return atMs == NEVER ? Long.MAX_VALUE : Math.max(0, timeSource.monotonicMs() - atMs);
    }

    long wireAgeMs() {
        long ageMs = ageMs();
        return ageMs == Long.MAX_VALUE ? UNKNOWN_AGE_MS : ageMs;
    }
}
