package org.cranberrybend.core.event;

import org.cranberrybend.core.time.TimeSource;

/**
 * Hybrid logical clock of one process, after Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
 *
 * <p>Remote timestamps far ahead of the local wall clock are ignored, so that one wrong clock does not advance the
 * clocks of the whole fleet.
 */
public final class HybridClock {
    /** Maximum offset of a remote timestamp ahead of the local wall clock, in milliseconds. */
    public static final long MAX_OFFSET_MS = 60_000;

    private final TimeSource timeSource;
    private HybridTimestamp last = HybridTimestamp.ZERO;

    /** Creates a clock on top of the given time source. */
    public HybridClock(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Returns the timestamp of a local event or of a message that is about to be sent. */
    public synchronized HybridTimestamp tick() {
        return advance(last);
    }

    /** Advances the clock to the timestamp of a received message and returns the timestamp of its receipt. */
    public synchronized HybridTimestamp observe(HybridTimestamp remote) {
        boolean plausible = remote.wallMs() <= timeSource.wallMs() + MAX_OFFSET_MS;
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
