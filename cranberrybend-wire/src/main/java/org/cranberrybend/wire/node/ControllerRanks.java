package org.cranberrybend.wire.node;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.cranberrybend.core.membership.Member;

/**
 * Ranks the controllers of an availability zone by rendezvous hashing. Processes with the same view of the membership
 * compute the same order. The two top-ranked controllers are active: they perform the duties of the zone, for example
 * its upstream orders.
 */
public final class ControllerRanks {
    /** Role of controllers in their process identity. */
    public static final String ROLE = "controller";

    /** Number of active controllers of a zone. */
    public static final int ACTIVE_COUNT = 2;

    private ControllerRanks() {}

    /** Returns the active controllers of a zone in order of rank. */
    public static List<Member> active(String zone, Collection<Member> members) {
        return byRank(
                        zone,
                        members.stream().filter(each -> isCandidate(each, zone)).toList())
                .stream()
                .limit(ACTIVE_COUNT)
                .toList();
    }

    /** Returns whether a member is a controller of the zone in a state that allows duties. */
    public static boolean isCandidate(Member member, String zone) {
        return member.identity().role().equals(ROLE)
                && member.identity().zone().equals(zone)
                && member.state().mayOwnShards();
    }

    /** Returns all given members in order of their rank in a zone. */
    public static List<Member> byRank(String zone, Collection<Member> candidates) {
        return candidates.stream()
                .sorted(Comparator.comparingLong((Member each) -> weight(zone, each.id()))
                        .thenComparing(Member::id))
                .toList();
    }

    private static long weight(String zone, String memberId) {
        return Hashing.sha256()
                .hashString(zone + "\n" + memberId, StandardCharsets.UTF_8)
                .asLong();
    }
}
