package org.cranberrybend.core.event;

import org.cranberrybend.core.time.TimeSource;

/**
 * Hybrid logical clock of one process, after Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
 *
 * <p>Remote stamps far ahead of the local wall clock are not followed, so that one broken clock cannot carry the
 * whole fleet away.
 */
public final class HybridClock {
    /** Largest lead over the local wall clock that is taken over from a remote stamp, in milliseconds. */
    public static final long MAX_LEAD_MS = 60_000;

    private final TimeSource timeSource;
    private HybridTimestamp last = HybridTimestamp.ZERO;

    /** Creates a clock that starts at the reading of the given source. */
    public HybridClock(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Returns the stamp of a local event or of a message about to be sent. */
    public synchronized HybridTimestamp tick() {
        return advance(last);
    }

    /** Takes over the stamp of a received message and returns the stamp of its receipt. */
    public synchronized HybridTimestamp observe(HybridTimestamp remote) {
        boolean plausible = remote.wallMs() <= timeSource.wallMs() + MAX_LEAD_MS;
        return advance(plausible && remote.compareTo(last) > 0 ? remote : last);
    }

    private HybridTimestamp advance(HybridTimestamp base) {
        long wallMs = timeSource.wallMs();
        last = wallMs > base.wallMs()
                ? new HybridTimestamp(wallMs, 0)
                : new HybridTimestamp(base.wallMs(), base.counter() + 1);
        return last;
    }
}
