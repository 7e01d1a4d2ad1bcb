package org.cranberrybend.core.routing;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/**
 * Chooses the upstream of a shard with the lowest predicted cost for a request.
 *
 * <p>Prefix affinity is a hint. The upstream that rendezvous hashing prefers for the affinity key is chosen only while
 * it is not much fuller than the average and not much slower than the best one, because a cached prefix saves less time
 * than a queue costs.
 *
 * <p>Edge cases: upstreams that are leaving, excluded by the request, at their limit, or with an open circuit that
 * admits no probe are never chosen. The choice is deterministic: of equal costs, the upstream whose identifier sorts
 * first is taken. Not thread-safe.
 */
public final class ShardUpstreamSelector {
    /** Maximum ratio of the utilization of the preferred upstream to the average of the shard. */
    private static final double MAX_AFFINITY_LOAD_RATIO = 1.25;
    /** Maximum ratio of the cost of the preferred upstream to the lowest cost. */
    private static final double MAX_AFFINITY_COST_RATIO = 1.3;

    /** Loads of the listed upstreams by identifier, in ascending order. */
    private final Map<String, UpstreamLoad> loads = new LinkedHashMap<>();

    /**
     * Replaces the upstreams of the shard. The state of an upstream that is still listed is kept.
     *
     * @param slotsInUse returns the number of slots in use on an upstream, given its identifier
     */
    public void setUpstreams(Collection<Upstream> upstreams, ToIntFunction<String> slotsInUse) {
        Map<String, UpstreamLoad> previous = new LinkedHashMap<>(loads);
        loads.clear();
        upstreams.stream()
                .sorted((left, right) -> left.id().compareTo(right.id()))
                .forEach(upstream -> {
                    UpstreamLoad load = previous.get(upstream.id());
                    if (load == null) {
                        load = new UpstreamLoad(upstream, slotsInUse.applyAsInt(upstream.id()));
                    } else {
                        load.updateUpstream(upstream);
                    }
                    loads.put(upstream.id(), load);
                });
    }

    /** Returns the load of an upstream, if it is listed. */
    public Optional<UpstreamLoad> load(String upstreamId) {
        return Optional.ofNullable(loads.get(upstreamId));
    }

    /** Returns the loads of all listed upstreams. */
    public Collection<UpstreamLoad> loads() {
        return Collections.unmodifiableCollection(loads.values());
    }

    /** Returns whether any upstream may serve a request with these exclusions, now or later. */
    public boolean hasEligible(Set<String> excluded) {
        for (UpstreamLoad load : loads.values()) {
            if (!load.isLeaving() && !excluded.contains(load.upstream().id())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a request with these exclusions could be sent now. */
    public boolean hasFreeSlot(Set<String> excluded, long nowMs) {
        for (UpstreamLoad load : loads.values()) {
            if (isFree(load, excluded, nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of free slots of all upstreams. */
    public int freeSlots(long nowMs) {
        int slots = 0;
        for (UpstreamLoad load : loads.values()) {
            slots += load.freeSlots(nowMs);
        }
        return slots;
    }

    /** Returns the number of slots that predictions may count on, free or in use. */
    public int effectiveSlots(long nowMs) {
        int slots = 0;
        for (UpstreamLoad load : loads.values()) {
            slots += load.effectiveSlots(nowMs);
        }
        return slots;
    }

    /** Returns when a slot may become free with time alone: by a probe of an open circuit or a step of a slow start. */
    public OptionalLong nextFreeSlotMs(long nowMs) {
        return loads.values().stream()
                .filter(load -> !load.isLeaving())
                .mapToLong(load -> load.nextLimitIncreaseMs(nowMs))
                .filter(atMs -> atMs > nowMs)
                .min();
    }

    /** Returns the predicted average time that a request holds a slot, in milliseconds; 0 until measured. */
    public double serviceMs(long promptTokens, long outputTokens, long nowMs) {
        return average(load -> load.serviceMs(promptTokens, outputTokens), nowMs);
    }

    /**
     * Returns the predicted time from a grant to the first token, in milliseconds: the lowest of the upstreams with a
     * free slot, or the average of all upstreams if none has one; 0 until measured.
     */
    public double firstTokenMs(long promptTokens, long nowMs) {
        double leastMs = Double.NaN;
        for (UpstreamLoad load : loads.values()) {
            double predictedMs = load.firstTokenMs(promptTokens, nowMs);
            if (load.freeSlots(nowMs) > 0 && !Double.isNaN(predictedMs)) {
                leastMs = Double.isNaN(leastMs) ? predictedMs : Math.min(leastMs, predictedMs);
            }
        }
        // Without a free slot, the prefill of the prompts granted so far ends before a slot becomes free.
        return Double.isNaN(leastMs) ? average(load -> load.serviceMs(promptTokens, 0), nowMs) : leastMs;
    }

    private double average(ToDoubleFunction<UpstreamLoad> value, long nowMs) {
        double sum = 0;
        int slots = 0;
        for (UpstreamLoad load : loads.values()) {
            double each = value.applyAsDouble(load);
            int weight = load.effectiveSlots(nowMs);
            if (!Double.isNaN(each) && weight > 0) {
                sum += each * weight;
                slots += weight;
            }
        }
        return slots == 0 ? 0 : sum / slots;
    }

    /**
     * Chooses an upstream with a free slot. The caller records the grant with {@link UpstreamLoad#acquireSlot}.
     *
     * @param promptTokens estimated prompt tokens
     * @param outputTokens estimated output tokens
     * @param excluded identifiers of upstreams that must not be chosen
     * @param affinityKey key of requests that are likely to share a prompt prefix; empty for none
     * @param nowMs current time in milliseconds
     */
    public Optional<UpstreamLoad> select(
            long promptTokens, long outputTokens, Set<String> excluded, String affinityKey, long nowMs) {
        UpstreamLoad best = null;
        UpstreamLoad preferred = null;
        double bestCost = Double.POSITIVE_INFINITY;
        long preferredHash = Long.MIN_VALUE;
        for (UpstreamLoad load : loads.values()) {
            // Upstreams without a free slot take part in the hashing, so that a key keeps its preferred upstream.
            if (!affinityKey.isEmpty() && !load.isLeaving()) {
                long hash = RendezvousHash.hash(affinityKey, load.upstream().id());
                if (preferred == null || hash > preferredHash) {
                    preferred = load;
                    preferredHash = hash;
                }
            }
            if (isFree(load, excluded, nowMs)) {
                double cost = load.cost(promptTokens, outputTokens, nowMs);
                if (cost < bestCost) {
                    best = load;
                    bestCost = cost;
                }
            }
        }
        if (preferred != null
                && preferred != best
                && isFree(preferred, excluded, nowMs)
                && isWithinLoadBound(preferred, nowMs)) {
            if (preferred.cost(promptTokens, outputTokens, nowMs) <= bestCost * MAX_AFFINITY_COST_RATIO) {
                return Optional.of(preferred);
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isWithinLoadBound(UpstreamLoad preferred, long nowMs) {
        int limits = 0;
        int inFlight = 0;
        for (UpstreamLoad load : loads.values()) {
            limits += load.effectiveSlots(nowMs);
            inFlight += load.inFlight();
        }
        double averageFill = (inFlight + 1) / (double) Math.max(1, limits);
        return preferred.inFlight() + 1 <= Math.ceil(MAX_AFFINITY_LOAD_RATIO * averageFill * preferred.limit(nowMs));
    }

    private static boolean isFree(UpstreamLoad load, Set<String> excluded, long nowMs) {
        return load.freeSlots(nowMs) > 0 && !excluded.contains(load.upstream().id());
    }
}
