package org.cranberrybend.core.routing;

import java.util.List;

/**
 * A part of a pool that one router owns.
 *
 * @param pool pool of the shard
 * @param name name within the pool; stays with the shard when another part of the pool is divided
 * @param upstreams upstreams of the shard, by name, at most {@link PoolOwnership#SHARD_UPSTREAMS_MAX}
 */
public record PoolShard(PoolKey pool, String name, List<Upstream> upstreams) {
    public PoolShard {
        upstreams = List.copyOf(upstreams);
    }

    /** Returns the identifier of the shard, unique among the shards of all pools. */
    public String id() {
        return pool.zone() + "/" + pool.service() + "/" + name;
    }

    /** Returns the slots announced by the shard's upstreams that are not leaving. */
    public int capacitySlots() {
        return upstreams.stream()
                .filter(upstream -> !upstream.leaving())
                .mapToInt(Upstream::capacitySlots)
                .sum();
    }
}
