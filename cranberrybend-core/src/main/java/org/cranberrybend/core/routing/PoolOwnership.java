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
 * Division of a pool into shards and their owners, the same in every process that knows the same upstreams and members.
 *
 * <p>A shard is a leaf of a binary tree over the bits of the upstreams' name hashes; a leaf with too many upstreams is
 * divided in two. An upstream that comes or goes therefore changes only the shard that it belongs to: at worst that shard
 * is divided, or two are joined. One half of a divided shard keeps its name and so its owner. The alternative, rendezvous
 * hashing over a count of shards derived from the count of upstreams, moves upstreams between many shards when that count
 * changes, and needs a second rule to keep the bound of 8.
 *
 * <p>Owners are chosen by rendezvous hashing over the members: a member that goes moves only its own shards.
 *
 * <p>Edge cases: shards are on average about 70% full, and a shard may have a single upstream, so entry routers must
 * weigh shards by capacity; leaving upstreams stay in their shard, because their slots are still in use; without members
 * a shard has no owner.
 */
public final class PoolOwnership {
    /** Bound on the upstreams of one shard (section 4.1 of the design). */
    public static final int SHARD_UPSTREAMS_MAX = 8;

    private static final int HASH_BITS = 64;

    private final List<PoolShard> shards = new ArrayList<>();
    private final Map<String, PoolShard> shardByUpstream = new TreeMap<>();
    /** Owner by shard name; a shard is absent if there are no members. */
    private final Map<String, String> owners = new LinkedHashMap<>();

    /**
     * Divides a pool.
     *
     * @param pool pool to divide; other pools' upstreams are ignored
     * @param upstreams announced upstreams
     * @param memberIds identifiers of the routers of the zone that may own shards
     */
    public PoolOwnership(PoolKey pool, Collection<Upstream> upstreams, Collection<String> memberIds) {
        Map<String, Upstream> own = new TreeMap<>();
        upstreams.stream().filter(pool::contains).forEach(upstream -> own.put(upstream.id(), upstream));
        divide(pool, new ArrayList<>(own.values()), "");
        for (PoolShard shard : shards) {
            shard.upstreams().forEach(upstream -> shardByUpstream.put(upstream.id(), shard));
            RendezvousHash.choose(shard.id(), memberIds).ifPresent(owner -> owners.put(shard.name(), owner));
        }
    }

    private void divide(PoolKey pool, List<Upstream> upstreams, String path) {
        if (upstreams.isEmpty()) {
            return;
        }
        if (upstreams.size() <= SHARD_UPSTREAMS_MAX || path.length() == HASH_BITS) {
            // Without its trailing zeros, the path of one half equals that of the shard before the division.
            shards.add(new PoolShard(pool, "s" + path.replaceAll("0+$", ""), upstreams));
            return;
        }
        List<Upstream> zeros = new ArrayList<>();
        List<Upstream> ones = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            boolean bit = (RendezvousHash.hash("shard", upstream.id()) >>> path.length() & 1) == 1;
            (bit ? ones : zeros).add(upstream);
        }
        divide(pool, zeros, path + "0");
        divide(pool, ones, path + "1");
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
     * Returns up to two shards to ask first, given a random number in [0, 1) for each draw by weight of capacity.
     *
     * @param firstRatio random number for the first shard
     * @param secondRatio random number for the second shard, drawn among the others
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
