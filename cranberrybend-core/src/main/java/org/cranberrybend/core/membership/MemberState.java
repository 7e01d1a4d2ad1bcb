package org.cranberrybend.core.membership;

/** What this process believes about a member. The order decides between reports of the same incarnation. */
public enum MemberState {
    ALIVE(true),
    SUSPECT(true),
    LEAVING(false),
    DEAD(false);

    private final boolean ownsShards;

    MemberState(boolean ownsShards) {
        this.ownsShards = ownsShards;
    }

    /** Returns whether the member may own pool shards. */
    public boolean mayOwnShards() {
        return ownsShards;
    }

    /** Returns whether a report of this state replaces one of the other state in the same incarnation. */
    public boolean overrides(MemberState other) {
        return ordinal() > other.ordinal();
    }
}
