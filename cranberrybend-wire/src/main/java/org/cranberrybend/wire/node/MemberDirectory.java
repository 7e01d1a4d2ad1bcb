package org.cranberrybend.wire.node;

import java.util.List;
import java.util.Optional;
import org.cranberrybend.core.membership.Member;

/** Members of the fleet as known by this process. */
public interface MemberDirectory {
    /** Returns this process. */
    Member self();

    /** Returns all known members that are not dead, this process included, in order of their identifiers. */
    List<Member> members();

    /** Returns a member that is not dead. */
    Optional<Member> member(String memberId);

    /** Adds a listener that is called on a worker thread, without locks, after each change. */
    void addListener(Runnable listener);
}
