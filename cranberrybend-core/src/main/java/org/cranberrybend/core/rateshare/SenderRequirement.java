package org.cranberrybend.core.rateshare;

/** When an instance may send to upstreams whose rate is divided, apart from its rank. */
public enum SenderRequirement {
    /**
     * The instance has been listed for long, and its list is recent. Any number of different lists then name no more
     * senders than one. For upstreams that receive little for a short phase only, so that a long wait costs little.
     */
    SETTLED {
        @Override
        boolean isMet(SenderRoster roster, String instance, long nowMs) {
            return roster.isSettled(instance, nowMs);
        }
    },

    /**
     * The other instances count the instance, by the last list that the store has confirmed: it is listed, or its entry
     * was deleted a short time ago, as all are by an outage in which leases expire. Two different lists stay within the
     * bound, and an upstream with a stated limit may be the only one for the whole time of an outage. The short wait
     * covers the time in which the others learn of a new instance.
     */
    COUNTED {
        @Override
        boolean isMet(SenderRoster roster, String instance, long nowMs) {
            return roster.isCountedFor(instance, COUNTED_MS, nowMs);
        }
    };

    /** Time in which instances learn of a registration while the store is available. */
    static final long COUNTED_MS = 3_000;

    /** Returns whether an instance may be a sender. */
    abstract boolean isMet(SenderRoster roster, String instance, long nowMs);
}
