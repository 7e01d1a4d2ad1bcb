package org.cranberrybend.core.scaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrybend.core.routing.Market;

/**
 * Decides how many upstreams of one model run in each availability zone, and the next steps towards that.
 *
 * <p>Guaranteed upstreams cover tiers 0 and 1 of the zone's own demand, so that the reclaim of every preemptible upstream
 * leaves the upper tiers served. Preemptible upstreams cover the rest; they are spread evenly over the zones of the
 * caller's list, because the platform reclaims them a whole zone at a time.
 *
 * <p>Edge cases: a start without a response counts as running, so one need never leads to a second order. Starts are
 * ordered at once; a drain happens only after fewer upstreams sufficed for the hold time, one at a time, and an upstream
 * is released only when it has no request in flight. While preemptible upstreams are unavailable, guaranteed ones replace
 * them within the zone's bound. If the upper bound is below what the upper tiers need, the bound is kept. A zone that is
 * partitioned passes only itself and plans for itself alone.
 *
 * <p>Not safe for use by several threads. Only the holder of a zone's order lease acts on the decisions for that zone.
 */
public final class ScalingPolicy {
    private final ScalingSettings settings;
    /** Since when fewer upstreams suffice, by zone and market; absent if they do not. */
    private final Map<String, Long> surplusSinceMs = new HashMap<>();

    /** Creates the policy of one model. */
    public ScalingPolicy(ScalingSettings settings) {
        this.settings = settings;
    }

    /** Returns the target counts by zone. */
    public Map<String, ScalingTarget> targets(Collection<ZoneDemand> zones) {
        Map<String, ScalingTarget> targets = new TreeMap<>();
        Map<String, Integer> rest = new TreeMap<>();
        Map<String, Integer> room = new TreeMap<>();
        for (ZoneDemand zone : zones) {
            int total = Math.min(zone.policy().upstreamsMax(), upstreamsFor(zone, totalNeed(zone)));
            int guaranteed = Math.min(
                    zone.policy().upstreamsMax(),
                    Math.max(zone.policy().guaranteedUpstreamsMin(), upstreamsFor(zone, upperNeed(zone))));
            targets.put(zone.zone(), new ScalingTarget(guaranteed, 0));
            rest.put(zone.zone(), Math.max(0, total - guaranteed));
            room.put(zone.zone(), preemptibleRoom(zone, guaranteed));
        }
        Map<String, Integer> spread =
                spread(rest.values().stream().mapToInt(each -> each).sum(), room);
        int unplaced = rest.values().stream().mapToInt(each -> each).sum()
                - spread.values().stream().mapToInt(each -> each).sum();
        for (ZoneDemand zone : byName(zones)) {
            ScalingTarget target = targets.get(zone.zone());
            int preemptible = spread.get(zone.zone());
            int roomLeft = zone.policy().upstreamsMax() - target.guaranteed() - preemptible;
            // What the spread could not place runs as guaranteed upstreams where the demand is.
            int extra = Math.max(0, Math.min(Math.min(unplaced, roomLeft), rest.get(zone.zone())));
            unplaced -= extra;
            targets.put(zone.zone(), new ScalingTarget(target.guaranteed() + extra, preemptible));
        }
        return targets;
    }

    /** Returns the next steps of all zones, given the present state of their upstreams. */
    public List<ScalingDecision> decide(Collection<ZoneDemand> zones, long nowMs) {
        Map<String, ScalingTarget> targets = targets(zones);
        List<ScalingDecision> decisions = new ArrayList<>();
        for (ZoneDemand zone : byName(zones)) {
            ScalingTarget target = targets.get(zone.zone());
            int room = zone.policy().upstreamsMax()
                    - zone.guaranteed().billable()
                    - zone.preemptible().billable();
            for (Market market : Market.values()) {
                UpstreamInventory count = market == Market.GUARANTEED ? zone.guaranteed() : zone.preemptible();
                count.drained().forEach(upstream -> decisions.add(new ScalingDecision.Release(zone.zone(), upstream)));
                int missing = count.unavailable() ? 0 : Math.min(room, target.count(market) - count.committed());
                for (int ordered = 0; ordered < missing; ordered++) {
                    decisions.add(new ScalingDecision.Start(zone.zone(), market));
                }
                room -= Math.max(0, missing);
                drainSurplus(zone, count, target, nowMs, decisions);
            }
        }
        return decisions;
    }

    private void drainSurplus(
            ZoneDemand zone,
            UpstreamInventory count,
            ScalingTarget target,
            long nowMs,
            List<ScalingDecision> decisions) {
        String key = zone.zone() + "/" + count.market();
        // Upstreams that are only ordered may never come, so they do not allow a serving one to be drained.
        if (count.serving().size() <= target.count(count.market()) || !isCovered(zone, target)) {
            surplusSinceMs.remove(key);
            return;
        }
        Long since = surplusSinceMs.putIfAbsent(key, nowMs);
        if (since != null && nowMs - since >= settings.downHoldMs()) {
            String upstream =
                    count.serving().stream().max(Comparator.naturalOrder()).orElseThrow();
            decisions.add(new ScalingDecision.Drain(zone.zone(), upstream));
            surplusSinceMs.put(key, nowMs);
        }
    }

    /** Returns whether the other market's target is reached, so that a surplus here does not stand in for it. */
    private static boolean isCovered(ZoneDemand zone, ScalingTarget target) {
        int serving = zone.guaranteed().serving().size()
                + zone.preemptible().serving().size();
        return serving > target.guaranteed() + target.preemptible();
    }

    private double upperNeed(ZoneDemand zone) {
        return zone.demand().upperNeed(settings.queueDrainSeconds());
    }

    private double totalNeed(ZoneDemand zone) {
        return zone.demand().totalNeed(settings.queueDrainSeconds());
    }

    private int upstreamsFor(ZoneDemand zone, double tokensPerSecond) {
        return (int) Math.min(
                Integer.MAX_VALUE, Math.ceil(tokensPerSecond / (zone.tokensPerSecond() * settings.utilizationRatio())));
    }

    /** Returns the largest count of preemptible upstreams next to the given guaranteed ones. */
    private static int preemptibleRoom(ZoneDemand zone, int guaranteed) {
        if (zone.preemptible().unavailable()) {
            return 0;
        }
        double ratio = zone.policy().preemptibleRatioMax();
        int bound = zone.policy().upstreamsMax() - guaranteed;
        // preemptible / (preemptible + guaranteed) <= ratio
        return ratio >= 1 ? bound : (int) Math.min(bound, Math.floor(guaranteed * ratio / (1 - ratio) + 1e-9));
    }

    /** Gives one upstream at a time to the zone that has the fewest and still has room. */
    private static Map<String, Integer> spread(int count, Map<String, Integer> room) {
        Map<String, Integer> given = new TreeMap<>();
        room.keySet().forEach(zone -> given.put(zone, 0));
        for (int placed = 0; placed < count; placed++) {
            String next = null;
            for (String zone : given.keySet()) {
                boolean hasRoom = given.get(zone) < room.get(zone);
                if (hasRoom && (next == null || given.get(zone) < given.get(next))) {
                    next = zone;
                }
            }
            if (next == null) {
                break;
            }
            given.merge(next, 1, Integer::sum);
        }
        return given;
    }

    private static List<ZoneDemand> byName(Collection<ZoneDemand> zones) {
        return zones.stream().sorted(Comparator.comparing(ZoneDemand::zone)).toList();
    }
}
