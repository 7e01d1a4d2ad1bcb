package org.cranberrybend.core.membership;

import java.util.Comparator;
import org.cranberrybend.core.event.ProcessIdentity;

/**
 * A process of the fleet as known by another.
 *
 * <p>A run of a process is identified by its incarnation, its start time. Within a run the process itself orders
 * reports about it by its count of refutations, because the incarnation of a run does not change.
 *
 * @param identity identity of the process
 * @param peerAddress address of its peer port, {@code host:port}
 * @param adminAddress address of its administrative port, {@code host:port}
 * @param state what is believed about it
 * @param refutations times this run refuted a suspicion or resumed after a pause
 */
public record Member(
        ProcessIdentity identity, String peerAddress, String adminAddress, MemberState state, long refutations) {
    private static final Comparator<Member> REPORT_ORDER =
            Comparator.comparingLong(Member::incarnation).thenComparingLong(Member::refutations);

    /** Creates a member that has refuted nothing yet. */
    public Member(ProcessIdentity identity, String peerAddress, String adminAddress, MemberState state) {
        this(identity, peerAddress, adminAddress, state, 0);
    }

    /** Returns the member identifier. */
    public String id() {
        return identity.memberId();
    }

    /** Returns the start time of the run in milliseconds since the epoch. */
    public long incarnation() {
        return identity.incarnation();
    }

    /** Returns whether the member was not declared dead. */
    public boolean isLive() {
        return state != MemberState.DEAD;
    }

    /** Returns this member in another state. */
    public Member withState(MemberState newState) {
        return new Member(identity, peerAddress, adminAddress, newState, refutations);
    }

    /** Returns this member with another count of refutations. */
    public Member withRefutations(long newRefutations) {
        return new Member(identity, peerAddress, adminAddress, state, newRefutations);
    }

    /** Returns whether both reports are about the same run and the same count of refutations. */
    public boolean hasSameVersion(Member other) {
        return REPORT_ORDER.compare(this, other) == 0;
    }

    /** Returns whether a report about the same member is newer than this one. */
    public boolean isSupersededBy(Member report) {
        int order = REPORT_ORDER.compare(report, this);
        return order > 0 || (order == 0 && report.state.overrides(state));
    }
}
