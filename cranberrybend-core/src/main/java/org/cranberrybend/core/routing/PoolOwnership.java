package org.cranberrybend.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Assignment of a pool's upstreams to shards and of the shards to their owners. It is a pure function of the upstreams
 * and the members, so all processes with the same upstreams and members compute the same assignment.
 *
 * <p>The shards are the leaves of a binary trie over the hashes of the upstreams' identifiers. A leaf with too many
 * upstreams is split in two, so an upstream that joins or leaves changes only its own shard; at worst that shard is
 * split or merged with its sibling. One half of a split shard keeps the name of the shard and therefore its owner.
 * Rendezvous hashing over a number of shards derived from the number of upstreams was rejected: it moves upstreams
 * between many shards when that number changes, and it needs another rule to keep the maximum shard size.
 *
 * <p>Owners are chosen by rendezvous hashing over the members, so a member that leaves moves only its own shards.
 *
 * <p>Edge cases: shards are filled to about 70% on average and a shard may have a single upstream, so entry routers
 * must weight shards by capacity. Leaving upstreams stay in their shard, because their slots are still in use. Without
 * members a shard has no owner.
 */
public final class PoolOwnership {
    /** Maximum number of upstreams in one shard (section 4.1 of the design). */
    public static final int SHARD_UPSTREAMS_MAX = 8;

    private static final int HASH_BITS = 64;

    private final List<PoolShard> shards = new ArrayList<>();
    private final Map<String, PoolShard> shardByUpstream = new TreeMap<>();
    /** Owner by shard name; empty if there are no members. */
    private final Map<String, String> owners = new LinkedHashMap<>();

    /**
     * Splits a pool into shards and chooses their owners.
     *
     * @param pool pool to split; upstreams of other pools are ignored
     * @param upstreams listed upstreams
     * @param memberIds identifiers of the routers of the zone that may own shards
     */
    public PoolOwnership(PoolKey pool, Collection<Upstream> upstreams, Collection<String> memberIds) {
        Map<String, Upstream> own = new TreeMap<>();
        upstreams.stream().filter(pool::contains).forEach(upstream -> own.put(upstream.id(), upstream));
        split(pool, new ArrayList<>(own.values()), "");
        for (PoolShard shard : shards) {
            shard.upstreams().forEach(upstream -> shardByUpstream.put(upstream.id(), shard));
            RendezvousHash.choose(shard.id(), memberIds).ifPresent(owner -> owners.put(shard.name(), owner));
        }
    }

    private void split(PoolKey pool, List<Upstream> upstreams, String path) {
        if (upstreams.isEmpty()) {
            return;
        }
        if (upstreams.size() <= SHARD_UPSTREAMS_MAX || path.length() == HASH_BITS) {
            // Trailing zeros are removed, so that the half with the 0 bit
            // has the same name as the shard before the split.
            shards.add(new PoolShard(pool, "s" + path.replaceAll("0+$", ""), upstreams));
            return;
        }
        List<Upstream> zeros = new ArrayList<>();
        List<Upstream> ones = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            boolean bit = (RendezvousHash.hash("shard", upstream.id()) >>> path.length() & 1) == 1;
            (bit ? ones : zeros).add(upstream);
        }
        split(pool, zeros, path + "0");
        split(pool, ones, path + "1");
    }

    /** Returns the shards of the pool; empty if it has no upstreams. */
    public List<PoolShard> shards() {
        return List.copyOf(shards);
    }

    /** Returns the shard of an upstream of the pool. */
    public Optional<PoolShard> shardOf(String upstreamId) {
        return Optional.ofNullable(shardByUpstream.get(upstreamId));
    }

    /** Returns the member that owns a shard of this pool. */
    public Optional<String> ownerOf(PoolShard shard) {
        return Optional.ofNullable(owners.get(shard.name()));
    }

    /** Returns the shards that a member owns. */
    public List<PoolShard> ownedBy(String memberId) {
        return shards.stream()
                .filter(shard -> memberId.equals(owners.get(shard.name())))
                .toList();
    }

    /**
     * Returns up to two different shards to request a slot from first, drawn at random and weighted by their capacity.
     *
     * @param firstRatio random number in [0, 1) for the first shard
     * @param secondRatio random number in [0, 1) for the second shard, drawn from the others
     */
    public List<PoolShard> candidates(double firstRatio, double secondRatio) {
        List<PoolShard> remaining = new ArrayList<>(shards);
        remaining.sort(Comparator.comparing(PoolShard::name));
        List<PoolShard> drawn = new ArrayList<>();
        for (double ratio : new double[] {firstRatio, secondRatio}) {
            if (!remaining.isEmpty()) {
                drawn.add(remaining.remove(drawIndex(remaining, ratio)));
            }
        }
        return drawn;
    }

    private static int drawIndex(List<PoolShard> from, double ratio) {
        double point = ratio * from.stream().mapToInt(PoolShard::capacitySlots).sum();
        int index = 0;
        while (index < from.size() - 1 && point >= from.get(index).capacitySlots()) {
            point -= from.get(index).capacitySlots();
            index++;
        }
        return index;
    }
}
