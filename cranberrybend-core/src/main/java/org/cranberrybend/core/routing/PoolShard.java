package org.cranberrybend.core.routing;

import java.util.List;

/**
 * A part of a pool that is owned by one router.
 *
 * @param pool pool of the shard
 * @param name name within the pool; does not change when another shard of the pool is split
 * @param upstreams upstreams of the shard by identifier, normally at most {@link PoolOwnership#SHARD_UPSTREAMS_MAX}
 */
public record PoolShard(PoolKey pool, String name, List<Upstream> upstreams) {
    public PoolShard {
        upstreams = List.copyOf(upstreams);
    }

    /** Returns the identifier of the shard, unique among the shards of all pools. */
    public String id() {
        return pool.zone() + "/" + pool.service() + "/" + name;
    }

    /** Returns the number of slots of the shard's upstreams that are not leaving. */
    public int capacitySlots() {
        return upstreams.stream()
                .filter(upstream -> !upstream.leaving())
                .mapToInt(Upstream::capacitySlots)
                .sum();
    }
}
