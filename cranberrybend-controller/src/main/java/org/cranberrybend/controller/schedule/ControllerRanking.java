package org.cranberrybend.controller.schedule;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.wire.node.MemberDirectory;

/**
 * Ranks the live controllers of this zone by rendezvous hashing, so that a few of them do the zone's duties and a
 * failed one is replaced without coordination.
 *
 * <p>While membership converges, more than two controllers may consider themselves ranked; every duty must tolerate it.
 */
public final class ControllerRanking {
    /** Role of controllers in their member identifier. */
    public static final String ROLE = "controller";

    private static final int RANKED = 2;

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
        return rank >= 0 && rank < RANKED;
    }

    /** Returns whether this controller is ranked first in its zone. */
    public boolean isFirst() {
        return ownRank() == 0;
    }

    private List<String> ranked() {
        Member self = members.self();
        String zone = self.identity().zone();
        return members.members().stream()
                .filter(each -> each.id().equals(self.id()) || isCandidate(each, zone))
                .map(Member::id)
                .sorted(Comparator.comparingLong((String id) -> weight(zone, id))
                        .thenComparing(id -> id))
                .toList();
    }

    private static boolean isCandidate(Member member, String zone) {
        return member.identity().role().equals(ROLE)
                && member.identity().zone().equals(zone)
                && member.state().mayOwnShards();
    }

    private static long weight(String zone, String memberId) {
        return Hashing.sha256()
                .hashString(zone + "\n" + memberId, StandardCharsets.UTF_8)
                .asLong();
    }
}
