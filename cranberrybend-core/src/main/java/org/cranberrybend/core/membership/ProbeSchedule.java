package org.cranberrybend.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses whom to probe: every live member once per round, in an order that is shuffled for each round.
 *
 * <p>A round bounds the time until a failed member is probed, which a random choice per period would not. Now and
 * then a dead member is probed, because after a partition both sides have declared each other dead.
 *
 * <p>Not thread-safe; the owning service holds the membership lock.
 */
public final class ProbeSchedule {
    /** One of this many probes goes to a dead member, if there is one. */
    public static final int DEAD_PROBE_PERIOD = 10;

    private final Random random;
    private final Deque<String> round = new ArrayDeque<>();
    private int probes;

    /** Creates a schedule with the given source of randomness. */
    public ProbeSchedule(Random random) {
        this.random = random;
    }

    /** Returns the member to probe next, or empty if there is none besides this process. */
    public Optional<Member> next(MembershipTable table) {
        if (++probes % DEAD_PROBE_PERIOD == 0) {
            List<Member> dead = table.deadMembers();
            if (!dead.isEmpty()) {
                return Optional.of(dead.get(random.nextInt(dead.size())));
            }
        }
        if (round.isEmpty()) {
            List<String> ids = new ArrayList<>();
            table.liveOthers().forEach(member -> ids.add(member.id()));
            Collections.shuffle(ids, random);
            round.addAll(ids);
        }
        while (!round.isEmpty()) {
            Optional<Member> target = table.find(round.removeFirst()).filter(Member::isLive);
            if (target.isPresent()) {
                return target;
            }
        }
        return Optional.empty();
    }

    /** Returns up to the given number of members that are asked to probe the target as well. */
    public List<Member> indirectProbers(MembershipTable table, Member target, int count) {
        List<Member> candidates = new ArrayList<>();
        for (Member member : table.liveOthers()) {
            if (member.state() == MemberState.ALIVE && !member.id().equals(target.id())) {
                candidates.add(member);
            }
        }
        Collections.shuffle(candidates, random);
        return List.copyOf(candidates.subList(0, Math.min(count, candidates.size())));
    }
}
