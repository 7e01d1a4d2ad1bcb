package org.cranberrybend.core.membership;

import java.util.Comparator;
import org.cranberrybend.core.event.ProcessIdentity;

/**
 * A process of the fleet as known to another process. Updates that are passed by gossip have this form too.
 *
 * <p>The version of an update is the pair of incarnation and number of refutations. The incarnation is the start time
 * of the process, so it does not change while the process runs. The number of refutations therefore takes the role of
 * the incarnation number in SWIM: only the process itself increases it, to override outdated updates about it.
 *
 * @param identity identity of the process
 * @param peerAddress address of its peer port, {@code host:port}
 * @param adminAddress address of its admin port, {@code host:port}
 * @param state state of the process as known to the observer
 * @param refutations number of times this incarnation refuted a suspicion or resumed after a pause
 */
public record Member(
        ProcessIdentity identity, String peerAddress, String adminAddress, MemberState state, long refutations) {
    private static final Comparator<Member> VERSION_ORDER =
            Comparator.comparingLong(Member::incarnation).thenComparingLong(Member::refutations);

    /** Creates a member without refutations. */
    public Member(ProcessIdentity identity, String peerAddress, String adminAddress, MemberState state) {
        this(identity, peerAddress, adminAddress, state, 0);
    }

    /** Returns the member identifier. */
    public String id() {
        return identity.memberId();
    }

    /** Returns the start time of the process in milliseconds since the epoch. */
    public long incarnation() {
        return identity.incarnation();
    }

    /** Returns whether the member is in any state other than dead. */
    public boolean isLive() {
        return state != MemberState.DEAD;
    }

    /** Returns this member in another state. */
    public Member withState(MemberState newState) {
        return new Member(identity, peerAddress, adminAddress, newState, refutations);
    }

    /** Returns this member with another number of refutations. */
    public Member withRefutations(long newRefutations) {
        return new Member(identity, peerAddress, adminAddress, state, newRefutations);
    }

    /** Returns whether both updates have the same incarnation and number of refutations. */
    public boolean hasSameVersion(Member other) {
        return VERSION_ORDER.compare(this, other) == 0;
    }

    /**
     * Returns whether an update about the same member supersedes this one: its version is higher, or the versions are
     * equal and its state overrides this one.
     */
    public boolean isSupersededBy(Member update) {
        int order = VERSION_ORDER.compare(update, this);
        return order > 0 || (order == 0 && update.state.overrides(state));
    }
}
