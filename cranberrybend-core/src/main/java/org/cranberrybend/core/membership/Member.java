package org.cranberrybend.core.membership;

import org.cranberrybend.core.event.ProcessIdentity;

/**
 * A process of the fleet as known by another.
 *
 * @param identity identity of the process
 * @param peerAddress address of its peer port, {@code host:port}
 * @param adminAddress address of its administrative port, {@code host:port}
 * @param state what is believed about it
 */
public record Member(ProcessIdentity identity, String peerAddress, String adminAddress, MemberState state) {
    /** Returns the member identifier. */
    public String id() {
        return identity.memberId();
    }

    /** Returns this member in another state. */
    public Member withState(MemberState newState) {
        return new Member(identity, peerAddress, adminAddress, newState);
    }

    /** Returns whether a report about the same member is newer than this one. */
    public boolean isReplacedBy(Member report) {
        long own = identity.incarnation();
        long reported = report.identity.incarnation();
        return reported > own || (reported == own && report.state.overrides(state));
    }
}
