package org.cranberrybend.core.membership;

/** State of a member as known to this process. Of two updates with the same version, the later constant overrides. */
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

    /** Returns whether an update with this state overrides one with the other state and the same version. */
    public boolean overrides(MemberState other) {
        return ordinal() > other.ordinal();
    }
}
