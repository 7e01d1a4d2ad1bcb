package org.cranberrybend.entry.upstream;

import org.cranberrybend.core.rateshare.LimitBound;
import org.cranberrybend.core.rateshare.RateSlots;
import org.cranberrybend.core.rateshare.SenderRequirement;
import org.cranberrybend.core.rateshare.SenderRoster;
import org.cranberrybend.core.rateshare.SliceRate;

/**
 * Keeps the requests of all instances to an upstream within the rate that it has stated. Each instance sends its share,
 * by the instances that it knows; no messages are needed for a decision. Confined to the event loop.
 */
public final class RateLimiter implements SendLimiter {
    private final RateSlots slots;
    private final SenderRoster roster;
    private final LimitBound bound;
    private long sent;

    /** Creates a limiter of one instance. */
    public RateLimiter(String instance, SenderRoster roster, LimitBound bound) {
        this.slots = new RateSlots(instance, roster, SenderRequirement.COUNTED);
        this.roster = roster;
        this.bound = bound;
    }

    @Override
    public Exclusion reason() {
        return Exclusion.RATE_LIMITED;
    }

    @Override
    public boolean isLimiting(Upstream upstream, long nowMs) {
        return upstream.rateLimit().isInForce(nowMs);
    }

    @Override
    public boolean admits(Upstream upstream, long nowMs) {
        return !isLimiting(upstream, nowMs) || slots.isFree(upstream.entry().id(), rate(upstream), nowMs);
    }

    @Override
    public long admissionMs(Upstream upstream, long nowMs) {
        if (!isLimiting(upstream, nowMs)) {
            return nowMs;
        }
        long slotMs =
                slots.nextFreeMs(upstream.entry().id(), rate(upstream), nowMs).orElse(Long.MAX_VALUE);
        return Math.max(nowMs, slotMs);
    }

    @Override
    public boolean tryReserve(Upstream upstream, long nowMs) {
        return isLimiting(upstream, nowMs) && slots.tryReserve(upstream.entry().id(), rate(upstream), nowMs);
    }

    @Override
    public boolean trySend(Upstream upstream, boolean reserved, long nowMs) {
        if (!isLimiting(upstream, nowMs)) {
            if (reserved) {
                release(upstream);
            }
            return true;
        }
        boolean taken = slots.tryTake(upstream.entry().id(), rate(upstream), reserved, nowMs);
        sent += taken ? 1 : 0;
        return taken;
    }

    @Override
    public void release(Upstream upstream) {
        slots.release(upstream.entry().id());
    }

    private SliceRate rate(Upstream upstream) {
        return upstream.rateLimit().division(bound, roster.size());
    }

    /** Returns the number of requests that this instance has sent to upstreams with a limit. */
    public long sentCount() {
        return sent;
    }
}
