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
 * Autoscaling policy of one model: decides how many upstreams run in each availability zone, and the next steps towards
 * that.
 *
 * <p>Guaranteed upstreams cover tiers 0 and 1 of the zone's own demand, so that the upper tiers are still served if the
 * platform reclaims all preemptible upstreams. Preemptible upstreams cover the rest. They are spread evenly over the
 * given zones, because the platform reclaims them one whole zone at a time.
 *
 * <p>Edge cases:
 *
 * <ul>
 *   <li>A start order without a response counts as a running upstream, so that the same demand never leads to a second
 *       order.
 *   <li>Starts are ordered at once. An upstream is drained only after fewer upstreams have sufficed for the scale-down
 *       delay, one at a time, and it is released only when it has no in-flight requests.
 *   <li>While preemptible upstreams are unavailable, guaranteed ones replace them up to the zone's maximum.
 *   <li>The zone's maximum holds even if the upper tiers need more.
 *   <li>The controller of a partitioned zone passes only its own zone and plans for it alone.
 * </ul>
 *
 * <p>Not thread-safe. Only the holder of a zone's order lease acts on the decisions for that zone.
 */
public final class ScalingPolicy {
    private final ScalingSettings settings;
    /** When fewer upstreams began to suffice, by zone and market; absent if they do not suffice. */
    private final Map<String, Long> surplusSinceMs = new HashMap<>();

    /** Creates the policy of one model. */
    public ScalingPolicy(ScalingSettings settings) {
        this.settings = settings;
    }

    /** Returns the target numbers of upstreams by zone. */
    public Map<String, ScalingTarget> targets(Collection<ZoneDemand> zones) {
        Map<String, ScalingTarget> targets = new TreeMap<>();
        Map<String, Integer> rest = new TreeMap<>();
        Map<String, Integer> maxPreemptible = new TreeMap<>();
        for (ZoneDemand zone : zones) {
            int total = Math.min(zone.policy().upstreamsMax(), requiredUpstreams(zone, requiredTotalRate(zone)));
            int guaranteed = Math.min(
                    zone.policy().upstreamsMax(),
                    Math.max(zone.policy().guaranteedUpstreamsMin(), requiredUpstreams(zone, requiredUpperRate(zone))));
            targets.put(zone.zone(), new ScalingTarget(guaranteed, 0));
            rest.put(zone.zone(), Math.max(0, total - guaranteed));
            maxPreemptible.put(zone.zone(), maxPreemptible(zone, guaranteed));
        }
        Map<String, Integer> spread =
                spreadEvenly(rest.values().stream().mapToInt(each -> each).sum(), maxPreemptible);
        int unplaced = rest.values().stream().mapToInt(each -> each).sum()
                - spread.values().stream().mapToInt(each -> each).sum();
        for (ZoneDemand zone : sortedByZone(zones)) {
            ScalingTarget target = targets.get(zone.zone());
            int preemptible = spread.get(zone.zone());
            int roomLeft = zone.policy().upstreamsMax() - target.guaranteed() - preemptible;
            // Preemptible upstreams that no zone has room for are replaced by guaranteed ones
            // in the zones of the demand.
            int extra = Math.max(0, Math.min(Math.min(unplaced, roomLeft), rest.get(zone.zone())));
            unplaced -= extra;
            targets.put(zone.zone(), new ScalingTarget(target.guaranteed() + extra, preemptible));
        }
        return targets;
    }

    /** Returns the next steps of all zones, given the current state of their upstreams. */
    public List<ScalingDecision> decide(Collection<ZoneDemand> zones, long nowMs) {
        Map<String, ScalingTarget> targets = targets(zones);
        List<ScalingDecision> decisions = new ArrayList<>();
        for (ZoneDemand zone : sortedByZone(zones)) {
            ScalingTarget target = targets.get(zone.zone());
            int room = zone.policy().upstreamsMax()
                    - zone.guaranteed().billable()
                    - zone.preemptible().billable();
            for (Market market : Market.values()) {
                UpstreamInventory inventory = market == Market.GUARANTEED ? zone.guaranteed() : zone.preemptible();
                inventory
                        .drained()
                        .forEach(upstream -> decisions.add(new ScalingDecision.Release(zone.zone(), upstream)));
                int missing =
                        inventory.unavailable() ? 0 : Math.min(room, target.count(market) - inventory.committed());
                for (int ordered = 0; ordered < missing; ordered++) {
                    decisions.add(new ScalingDecision.Start(zone.zone(), market));
                }
                room -= Math.max(0, missing);
                drainSurplus(zone, inventory, target, nowMs, decisions);
            }
        }
        return decisions;
    }

    private void drainSurplus(
            ZoneDemand zone,
            UpstreamInventory inventory,
            ScalingTarget target,
            long nowMs,
            List<ScalingDecision> decisions) {
        String key = zone.zone() + "/" + inventory.market();
        // Only serving upstreams count here, because ordered ones may never start.
        if (inventory.serving().size() <= target.count(inventory.market()) || !hasTotalSurplus(zone, target)) {
            surplusSinceMs.remove(key);
            return;
        }
        Long since = surplusSinceMs.putIfAbsent(key, nowMs);
        if (since != null && nowMs - since >= settings.downHoldMs()) {
            String upstream =
                    inventory.serving().stream().max(Comparator.naturalOrder()).orElseThrow();
            decisions.add(new ScalingDecision.Drain(zone.zone(), upstream));
            surplusSinceMs.put(key, nowMs);
        }
    }

    /**
     * Returns whether both markets together serve more than the target, so that no surplus replaces the other market.
     */
    private static boolean hasTotalSurplus(ZoneDemand zone, ScalingTarget target) {
        int serving = zone.guaranteed().serving().size()
                + zone.preemptible().serving().size();
        return serving > target.guaranteed() + target.preemptible();
    }

    private double requiredUpperRate(ZoneDemand zone) {
        return zone.demand().requiredUpperRate(settings.queueDrainSeconds());
    }

    private double requiredTotalRate(ZoneDemand zone) {
        return zone.demand().requiredTotalRate(settings.queueDrainSeconds());
    }

    private int requiredUpstreams(ZoneDemand zone, double tokensPerSecond) {
        return (int) Math.min(
                Integer.MAX_VALUE, Math.ceil(tokensPerSecond / (zone.tokensPerSecond() * settings.utilizationRatio())));
    }

    /** Returns the maximum number of preemptible upstreams in addition to the given guaranteed ones. */
    private static int maxPreemptible(ZoneDemand zone, int guaranteed) {
        if (zone.preemptible().unavailable()) {
            return 0;
        }
        double ratio = zone.policy().preemptibleRatioMax();
        int bound = zone.policy().upstreamsMax() - guaranteed;
        // preemptible / (preemptible + guaranteed) <= ratio
        return ratio >= 1 ? bound : (int) Math.min(bound, Math.floor(guaranteed * ratio / (1 - ratio) + 1e-9));
    }

    /** Distributes upstreams over the zones, each to the zone with the fewest that still has room. */
    private static Map<String, Integer> spreadEvenly(int count, Map<String, Integer> maxByZone) {
        Map<String, Integer> given = new TreeMap<>();
        maxByZone.keySet().forEach(zone -> given.put(zone, 0));
        for (int placed = 0; placed < count; placed++) {
            String next = null;
            for (String zone : given.keySet()) {
                boolean hasRoom = given.get(zone) < maxByZone.get(zone);
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

    private static List<ZoneDemand> sortedByZone(Collection<ZoneDemand> zones) {
        return zones.stream().sorted(Comparator.comparing(ZoneDemand::zone)).toList();
    }
}
