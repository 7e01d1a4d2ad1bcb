package org.cranberrybend.wire.node;

import java.util.List;
import java.util.Optional;
import org.cranberrybend.core.membership.Member;

/** Members of the fleet known to this process. */
public interface MemberDirectory {
    /** Returns this process. */
    Member self();

    /** Returns all members that are not dead, including this process, ordered by identifier. */
    List<Member> members();

    /** Returns the member with an identifier, unless it is unknown or dead. */
    Optional<Member> member(String memberId);

    /** Adds a listener that is called after changes, on a worker thread that holds no locks. */
    void addListener(Runnable listener);
}
