package org.cranberrybend.core.rateshare;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Decides when one instance may send a request to an upstream whose rate is divided among instances. All times are
 * monotonic, in milliseconds. Not safe for use by several threads.
 *
 * <p>A slot is reserved before a connection is acquired and taken when the request is sent, since the interval between
 * requests counts from the moment of sending. At most one slot of an upstream is reserved at a time.
 */
public final class RateSlots {
    /** Time without use after which the slots of an upstream are forgotten; longer than any interval between requests. */
    private static final long FORGET_AFTER_MS = 60_000;
    /** Number of upstreams from which unused ones are forgotten. */
    private static final int MAX_IDLE_UPSTREAMS = 256;

    /** Marks slots that have not begun. */
    private static final long NOT_BEGUN = Long.MIN_VALUE;

    /** The slots of one upstream, and the place of this instance in the order of its senders. */
    private static final class Slots {
        /** Time from which the interval to the next slot counts. */
        private long intervalStartMs = NOT_BEGUN;

        private boolean reserved;
        private long lastUsedMs;
        private long rosterVersion = -1;
        private int rank;
        private double position;
    }

    private final String instance;
    private final SenderRoster roster;
    private final SenderRequirement requirement;
    private final Map<String, Slots> byUpstream = new HashMap<>();

    /**
     * Creates the decisions of one instance.
     *
     * @param requirement when the instance may be a sender at all
     */
    public RateSlots(String instance, SenderRoster roster, SenderRequirement requirement) {
        this.instance = instance;
        this.roster = roster;
        this.requirement = requirement;
    }

    /** Returns whether a request may be sent now. */
    public boolean isFree(String upstreamId, SliceRate rate, long nowMs) {
        OptionalLong nextMs = nextFreeMs(upstreamId, rate, nowMs);
        return nextMs.isPresent() && nextMs.getAsLong() <= nowMs && !slots(upstreamId, rate, nowMs).reserved;
    }

    /** Returns the time of the next slot; empty if this instance has no slice of the upstream's rate. */
    public OptionalLong nextFreeMs(String upstreamId, SliceRate rate, long nowMs) {
        if (!requirement.isMet(roster, instance, nowMs)) {
            return OptionalLong.empty();
        }
        Slots slots = slots(upstreamId, rate, nowMs);
        return slots.rank < rate.senders()
                ? OptionalLong.of(slots.intervalStartMs + rate.intervalMs())
                : OptionalLong.empty();
    }

    /** Reserves the slot if a request may be sent now; returns whether it is reserved for the caller. */
    public boolean tryReserve(String upstreamId, SliceRate rate, long nowMs) {
        boolean free = isFree(upstreamId, rate, nowMs);
        if (free) {
            slots(upstreamId, rate, nowMs).reserved = true;
        }
        return free;
    }

    /**
     * Takes the slot because a request is sent now; returns false if none may be sent.
     *
     * @param reserved whether the caller has reserved the slot; the reservation ends in any case
     */
    public boolean tryTake(String upstreamId, SliceRate rate, boolean reserved, long nowMs) {
        if (reserved) {
            release(upstreamId);
        }
        if (!isFree(upstreamId, rate, nowMs)) {
            return false;
        }
        slots(upstreamId, rate, nowMs).intervalStartMs = nowMs;
        return true;
    }

    /** Gives a reserved slot back, because nothing was sent. */
    public void release(String upstreamId) {
        Slots slots = byUpstream.get(upstreamId);
        if (slots != null) {
            slots.reserved = false;
        }
    }

    /**
     * Returns whether requests may be sent during the ramp after the warm-up. The instances begin one after another in
     * the order of the upstream; one without a recent list begins last.
     *
     * @param elapsedRatio elapsed part of the ramp
     */
    public boolean isAdmittedInRamp(String upstreamId, double elapsedRatio, long nowMs) {
        if (!roster.isRecent(nowMs)) {
            return elapsedRatio >= 1;
        }
        Slots slots = slots(upstreamId, nowMs);
        return elapsedRatio >= slots.position;
    }

    private Slots slots(String upstreamId, SliceRate rate, long nowMs) {
        Slots slots = slots(upstreamId, nowMs);
        if (slots.intervalStartMs == NOT_BEGUN && slots.rank < rate.senders()) {
            // Senders learn of the upstream's state at about the same time, so each begins at a phase of its own.
            slots.intervalStartMs = nowMs - rate.intervalMs() + rate.intervalMs() * slots.rank / rate.senders();
        }
        return slots;
    }

    private Slots slots(String upstreamId, long nowMs) {
        Slots slots = byUpstream.get(upstreamId);
        if (slots == null) {
            forgetUnused(nowMs);
            slots = new Slots();
            byUpstream.put(upstreamId, slots);
        }
        slots.lastUsedMs = nowMs;
        if (slots.rosterVersion != roster.version()) {
            slots.rosterVersion = roster.version();
            slots.rank = roster.rank(instance, upstreamId);
            slots.position = roster.position(instance, upstreamId);
        }
        return slots;
    }

    private void forgetUnused(long nowMs) {
        if (byUpstream.size() >= MAX_IDLE_UPSTREAMS) {
            byUpstream.values().removeIf(each -> !each.reserved && nowMs - each.lastUsedMs >= FORGET_AFTER_MS);
        }
    }
}
