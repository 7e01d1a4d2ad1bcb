package org.cranberrybend.wire.node;

import java.util.concurrent.atomic.AtomicLong;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.wire.generated.Envelope;

/**
 * Time of the latest read of the key-value service by any member, spread by the age in each frame.
 *
 * <p>A frame may have waited in a buffer, for example while this process was paused, so the difference of the wall
 * clocks is added to its age. Skewed clocks can only make the age larger by this.
 */
final class StoreConfirmation {
    /** Age on the wire when no read is known. */
    private static final long UNKNOWN_AGE_MS = -1;

    private static final long NEVER = Long.MIN_VALUE;

    private final TimeSource timeSource;

    /** Reading of the monotonic clock at the latest known read; never decreases. */
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

    /** Returns the age, or the largest number if no read is known. */
    long ageMs() {
        long atMs = confirmedAtMs.get();
        return atMs == NEVER ? Long.MAX_VALUE : Math.max(0, timeSource.monotonicMs() - atMs);
    }

    long wireAgeMs() {
        long ageMs = ageMs();
        return ageMs == Long.MAX_VALUE ? UNKNOWN_AGE_MS : ageMs;
    }
}
