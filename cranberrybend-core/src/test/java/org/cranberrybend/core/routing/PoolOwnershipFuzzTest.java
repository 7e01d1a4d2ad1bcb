package org.cranberrybend.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.UniqueElements;

class PoolOwnershipFuzzTest {
    private static final String SEED = "20260802";
    private static final PoolKey POOL = new PoolKey("szeged-a", "stub");

    private static Upstream upstream(int number) {
        return new Upstream(
                "engine-" + number,
                POOL.zone(),
                "alfold",
                "127.0.0.1",
                9_000,
                UpstreamKind.ENGINE,
                Set.of(POOL.service()),
                8,
                Market.GUARANTEED,
                true,
                false);
    }

    private static List<Upstream> upstreams(List<Integer> numbers) {
        return numbers.stream().map(PoolOwnershipFuzzTest::upstream).toList();
    }

    private static List<String> members(int count) {
        List<String> members = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            members.add("entry-" + number + "/router");
        }
        return members;
    }

    // Each upstream must be in exactly one shard, no shard may exceed its maximum size, shard names must be unique, and
    // the result must not depend on the order in which a process receives upstreams and members.
    @Property(tries = 200, seed = SEED)
    void splitsPoolWithoutOverlap(
            @ForAll @Size(max = 120) @UniqueElements List<@IntRange(max = 5_000) Integer> numbers,
            @ForAll @IntRange(min = 1, max = 20) int memberCount,
            @ForAll long shuffleSeed) {
        PoolOwnership ownership = new PoolOwnership(POOL, upstreams(numbers), members(memberCount));
        Set<String> placed = new HashSet<>();
        Set<String> names = new HashSet<>();
        for (PoolShard shard : ownership.shards()) {
            assertThat(shard.upstreams().size()).isAtMost(PoolOwnership.SHARD_UPSTREAMS_MAX);
            assertThat(names.add(shard.id())).isTrue();
            shard.upstreams()
                    .forEach(upstream -> assertThat(placed.add(upstream.id())).isTrue());
            assertThat(members(memberCount)).contains(ownership.ownerOf(shard).orElseThrow());
        }
        assertThat(placed).hasSize(numbers.size());
        if (numbers.size() <= PoolOwnership.SHARD_UPSTREAMS_MAX) {
            assertWithMessage("a pool of up to the maximum shard size is one shard")
                    .that(ownership.shards().size())
                    .isAtMost(1);
        }

        List<Integer> shuffled = new ArrayList<>(numbers);
        List<String> shuffledMembers = new ArrayList<>(members(memberCount));
        Collections.shuffle(shuffled, new Random(shuffleSeed));
        Collections.shuffle(shuffledMembers, new Random(shuffleSeed));
        PoolOwnership other = new PoolOwnership(POOL, upstreams(shuffled), shuffledMembers);
        assertThat(owners(other)).isEqualTo(owners(ownership));
    }

    // An upstream that joins or leaves must not move upstreams of other shards.
    @Property(tries = 200, seed = SEED)
    void oneUpstreamChangesOneShard(
            @ForAll @Size(min = 1, max = 120) @UniqueElements List<@IntRange(max = 5_000) Integer> numbers) {
        List<Integer> fewer = numbers.subList(1, numbers.size());
        Map<String, String> with = owners(new PoolOwnership(POOL, upstreams(numbers), members(9)));
        Map<String, String> without = owners(new PoolOwnership(POOL, upstreams(fewer), members(9)));
        int moved = 0;
        for (Map.Entry<String, String> entry : without.entrySet()) {
            moved += entry.getValue().equals(with.get(entry.getKey())) ? 0 : 1;
        }
        assertThat(moved).isAtMost(PoolOwnership.SHARD_UPSTREAMS_MAX);
    }

    // A member that joins or leaves must not move shards between other members.
    @Property(tries = 200, seed = SEED)
    void oneMemberMovesOnlyItsOwnShards(
            @ForAll @Size(max = 120) @UniqueElements List<@IntRange(max = 5_000) Integer> numbers,
            @ForAll @IntRange(min = 2, max = 20) int memberCount) {
        PoolOwnership with = new PoolOwnership(POOL, upstreams(numbers), members(memberCount));
        PoolOwnership without = new PoolOwnership(POOL, upstreams(numbers), members(memberCount - 1));
        String lastMember = members(memberCount).get(memberCount - 1);
        for (PoolShard shard : with.shards()) {
            String owner = with.ownerOf(shard).orElseThrow();
            if (!owner.equals(lastMember)) {
                assertThat(without.ownerOf(shard)).hasValue(owner);
            }
        }
    }

    /** Returns the shard and the owner of each upstream. */
    private static Map<String, String> owners(PoolOwnership ownership) {
        Map<String, String> owners = new HashMap<>();
        for (PoolShard shard : ownership.shards()) {
            String owner = shard.id() + " " + ownership.ownerOf(shard).orElseThrow();
            shard.upstreams().forEach(upstream -> owners.put(upstream.id(), owner));
        }
        return owners;
    }
}
