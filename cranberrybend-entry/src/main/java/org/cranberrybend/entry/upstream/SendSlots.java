package org.cranberrybend.entry.upstream;

import java.util.List;
import java.util.Optional;

/** The slots of the limiters that one request needs to be sent to an upstream. Confined to the event loop. */
public final class SendSlots {
    private final Upstream upstream;
    private final List<SendLimiter> limiters;
    private final boolean[] reserved;

    SendSlots(Upstream upstream, List<SendLimiter> limiters) {
        this.upstream = upstream;
        this.limiters = limiters;
        this.reserved = new boolean[limiters.size()];
    }

    /** Reserves the free slots that the request needs, because its connection is requested. */
    public void reserve(long nowMs) {
        for (int i = 0; i < reserved.length; i++) {
            reserved[i] = limiters.get(i).tryReserve(upstream, nowMs);
        }
    }

    /**
     * Takes the slots because the request is to be sent now; the reservations end in any case. Returns the reason why it
     * must not be sent; empty if it may.
     */
    public Optional<Exclusion> tryTake(long nowMs) {
        for (int i = 0; i < reserved.length; i++) {
            boolean wasReserved = reserved[i];
            reserved[i] = false;
            if (!limiters.get(i).trySend(upstream, wasReserved, nowMs)) {
                release();
                return Optional.of(limiters.get(i).reason());
            }
        }
        return Optional.empty();
    }

    /** Gives the reserved slots back, because nothing was sent. */
    public void release() {
        for (int i = 0; i < reserved.length; i++) {
            if (reserved[i]) {
                reserved[i] = false;
                limiters.get(i).release(upstream);
            }
        }
    }
}
