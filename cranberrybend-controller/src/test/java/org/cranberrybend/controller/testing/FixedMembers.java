package org.cranberrybend.controller.testing;

import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.cranberrybend.core.event.HybridClock;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.wire.node.MemberDirectory;

/** Member directory that never changes. */
public record FixedMembers(Member self, List<Member> members) implements MemberDirectory {
    // Fuzz tests record many thousands of events. Tests that need them read the event buffer instead of the log.
    private static final Logger EVENT_LOGGER = Logger.getLogger(EventLog.class.getName());

    static {
        EVENT_LOGGER.setLevel(Level.OFF);
    }

    /** Returns a live controller. */
    public static Member controller(String instance, String zone) {
        return member(instance, "controller", zone, MemberState.ALIVE);
    }

    /** Returns a member with addresses on which no process listens. */
    public static Member member(String instance, String role, String zone, MemberState state) {
        ProcessIdentity identity = new ProcessIdentity(instance, role, 1, zone, "alfold");
        return new Member(identity, "127.0.0.1:1", "127.0.0.1:1", state);
    }

    /** Returns the directory of the only controller of a zone. */
    public static FixedMembers alone(String instance, String zone) {
        Member self = controller(instance, zone);
        return new FixedMembers(self, List.of(self));
    }

    /** Returns an event log of this member. */
    public EventLog eventLog(TimeSource time) {
        return new EventLog(self.identity(), new HybridClock(time));
    }

    @Override
    public Optional<Member> member(String memberId) {
        return members.stream().filter(each -> each.id().equals(memberId)).findFirst();
    }

    @Override
    public void addListener(Runnable listener) {
        // The members never change.
    }
}
