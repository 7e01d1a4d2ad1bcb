package org.cranberrybend.router.shard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;
import org.cranberrybend.wire.generated.PoolDemand;
import org.cranberrybend.wire.generated.TierDemand;

/** Aggregates owned shards into the demand per pool of a demand report. */
final class DemandMessages {
    private DemandMessages() {}

    /** Returns one entry per engine pool; plain services are not scaled by demand. */
    static List<PoolDemand> poolDemands(Collection<OwnedShard> shards, Map<String, PoolCounters> counters) {
        Map<String, List<OwnedShard>> byService = new TreeMap<>();
        for (OwnedShard shard : shards) {
            if (shard.shard().upstreams().stream().anyMatch(each -> each.kind() == UpstreamKind.ENGINE)) {
                byService
                        .computeIfAbsent(shard.shard().pool().service(), service -> new ArrayList<>())
                        .add(shard);
            }
        }
        List<PoolDemand> pools = new ArrayList<>();
        byService.forEach((service, owned) -> pools.add(poolDemand(service, owned, counters.get(service))));
        return pools;
    }

    private static PoolDemand poolDemand(String service, List<OwnedShard> shards, PoolCounters counters) {
        PoolDemand.Builder pool = PoolDemand.newBuilder()
                .setService(service)
                .setServedTokens(counters.servedTokens())
                .setServedExpectedTokens(counters.servedExpectedTokens())
                .setServedSlotMs(counters.servedSlotMs());
        Map<Tier, Integer> waitingRequests = new HashMap<>();
        Map<Tier, Long> waitingTokens = new HashMap<>();
        for (OwnedShard shard : shards) {
            pool.setSlotsInUse(pool.getSlotsInUse() + shard.queue().slotsInUse());
            pool.setSlots(pool.getSlots() + shard.shard().capacitySlots());
            for (Upstream upstream : shard.shard().upstreams()) {
                if (upstream.market() == Market.GUARANTEED) {
                    pool.setGuaranteedUpstreams(pool.getGuaranteedUpstreams() + 1);
                } else {
                    pool.setPreemptibleUpstreams(pool.getPreemptibleUpstreams() + 1);
                }
            }
            for (QueuedRequest request : shard.waiting()) {
                Tier tier = request.requestClass().tier();
                waitingRequests.merge(tier, 1, Integer::sum);
                waitingTokens.merge(tier, request.expectedTokens(), Long::sum);
            }
        }
        for (Tier tier : Tier.values()) {
            pool.addTiers(TierDemand.newBuilder()
                    .setTier(tier.number())
                    .setOfferedTokens(counters.offeredTokens(tier))
                    .setWaitingRequests(waitingRequests.getOrDefault(tier, 0))
                    .setWaitingTokens(waitingTokens.getOrDefault(tier, 0L)));
        }
        return pool.build();
    }
}
