package org.cranberrybend.router.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.routing.PoolKey;
import org.cranberrybend.core.routing.PoolOwnership;
import org.cranberrybend.core.routing.PoolShard;
import org.cranberrybend.core.routing.Upstream;

/** Immutable assignment of all pool shards to owners, computed from one list of upstreams and one of members. */
public final class ShardMap {
    private static final String ROUTER_ROLE = "router";

    private final Map<PoolKey, PoolOwnership> pools = new HashMap<>();
    private final Map<String, PoolShard> shardsById = new HashMap<>();

    /** Divides each pool into shards and assigns them to the routers of its zone. */
    public ShardMap(List<Upstream> upstreams, List<Member> members) {
        Map<String, List<String>> routersByZone = new HashMap<>();
        for (Member member : members) {
            if (member.identity().role().equals(ROUTER_ROLE) && member.state().mayOwnShards()) {
                routersByZone
                        .computeIfAbsent(member.identity().zone(), zone -> new ArrayList<>())
                        .add(member.id());
            }
        }
        Set<PoolKey> keys = new HashSet<>();
        for (Upstream upstream : upstreams) {
            upstream.services().forEach(service -> keys.add(new PoolKey(upstream.zone(), service)));
        }
        for (PoolKey key : keys) {
            PoolOwnership pool = new PoolOwnership(key, upstreams, routersByZone.getOrDefault(key.zone(), List.of()));
            pools.put(key, pool);
            pool.shards().forEach(shard -> shardsById.put(shard.id(), shard));
        }
    }

    Optional<PoolOwnership> pool(PoolKey key) {
        return Optional.ofNullable(pools.get(key));
    }

    Optional<PoolShard> shard(String shardId) {
        return Optional.ofNullable(shardsById.get(shardId));
    }

    Optional<String> ownerOf(String shardId) {
        return shard(shardId).flatMap(shard -> pools.get(shard.pool()).ownerOf(shard));
    }

    /** Returns the owners of all shards that contain an upstream; an engine that serves two models is in two shards. */
    Set<String> ownersOfUpstream(String upstreamId) {
        Set<String> owners = new HashSet<>();
        for (PoolOwnership pool : pools.values()) {
            pool.shardOf(upstreamId).flatMap(pool::ownerOf).ifPresent(owners::add);
        }
        return owners;
    }

    List<PoolShard> ownedBy(String memberId) {
        List<PoolShard> owned = new ArrayList<>();
        pools.values().forEach(pool -> owned.addAll(pool.ownedBy(memberId)));
        return owned;
    }
}
