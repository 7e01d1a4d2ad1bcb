package org.cranberrybend.controller.schedule;

import java.util.List;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.wire.node.ControllerRanks;
import org.cranberrybend.wire.node.MemberDirectory;

/**
 * Ranks the live controllers of this zone by rendezvous hashing, so that a few of them do the zone's duties and a
 * failed one is replaced without coordination.
 *
 * <p>While membership converges, more than two controllers may consider themselves ranked; every duty must tolerate it.
 */
public final class ControllerRanking {
    /** Role of controllers in their member identifier. */
    public static final String ROLE = ControllerRanks.ROLE;

    private final MemberDirectory members;

    /** Creates a ranking over the members known to this process. */
    public ControllerRanking(MemberDirectory members) {
        this.members = members;
    }

    /** Returns the rank of this controller in its zone, 0 for the first. */
    public int ownRank() {
        return ranked().indexOf(members.self().id());
    }

    /** Returns whether this controller is one of the two that do the zone's duties. */
    public boolean isRanked() {
        int rank = ownRank();
        return rank >= 0 && rank < ControllerRanks.ACTIVE_COUNT;
    }

    /** Returns whether this controller is ranked first in its zone. */
    public boolean isFirst() {
        return ownRank() == 0;
    }

    private List<String> ranked() {
        Member self = members.self();
        String zone = self.identity().zone();
        List<Member> candidates = members.members().stream()
                .filter(each -> each.id().equals(self.id()) || ControllerRanks.isCandidate(each, zone))
                .toList();
        return ControllerRanks.byRank(zone, candidates).stream().map(Member::id).toList();
    }
}
