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
 * Chooses the upstream of a shard that is predicted to finish a request first.
 *
 * <p>Prefix affinity is a hint: the upstream that rendezvous hashing prefers for the affinity key is taken only while it
 * is not much fuller and not much slower than the best choice, because a cached prefix saves less than a queue costs.
 *
 * <p>Edge cases: upstreams that are leaving, excluded by the request, at their limit, or behind an open circuit are never
 * chosen. The choice is deterministic: equal costs are decided by the order of the upstreams' names. Not safe for use by
 * several threads.
 */
public final class EngineSelector {
    /** An affine upstream may be this many times as full as the average of the shard. */
    private static final double AFFINITY_LOAD_BOUND_RATIO = 1.25;
    /** An affine upstream may be predicted to take this many times as long as the best one. */
    private static final double AFFINITY_COST_BOUND_RATIO = 1.3;

    /** One entry per announced upstream, by name. */
    private final Map<String, EngineLoad> loads = new LinkedHashMap<>();

    /**
     * Replaces the upstreams of the shard. What was measured on an upstream that stays is kept.
     *
     * @param slotsInUse gives the slots in use on an upstream by its name
     */
    public void setUpstreams(Collection<Upstream> upstreams, ToIntFunction<String> slotsInUse) {
        Map<String, EngineLoad> previous = new LinkedHashMap<>(loads);
        loads.clear();
        upstreams.stream()
                .sorted((left, right) -> left.id().compareTo(right.id()))
                .forEach(upstream -> {
                    EngineLoad load = previous.get(upstream.id());
                    if (load == null) {
                        load = new EngineLoad(upstream, slotsInUse.applyAsInt(upstream.id()));
                    } else {
                        load.announce(upstream);
                    }
                    loads.put(upstream.id(), load);
                });
    }

    /** Returns the load of an upstream, if it is announced. */
    public Optional<EngineLoad> load(String upstreamId) {
        return Optional.ofNullable(loads.get(upstreamId));
    }

    /** Returns the loads of all announced upstreams. */
    public Collection<EngineLoad> loads() {
        return Collections.unmodifiableCollection(loads.values());
    }

    /** Returns whether any upstream may serve a request with these exclusions, now or after waiting. */
    public boolean hasUsable(Set<String> excluded) {
        for (EngineLoad load : loads.values()) {
            if (!load.isLeaving() && !excluded.contains(load.upstream().id())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a request with these exclusions could be sent now. */
    public boolean hasFreeSlot(Set<String> excluded, long nowMs) {
        for (EngineLoad load : loads.values()) {
            if (isFree(load, excluded, nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the free slots of all upstreams. */
    public int freeSlots(long nowMs) {
        int slots = 0;
        for (EngineLoad load : loads.values()) {
            slots += load.freeSlots(nowMs);
        }
        return slots;
    }

    /** Returns the slots that may be counted on, free or in use. */
    public int countedSlots(long nowMs) {
        int slots = 0;
        for (EngineLoad load : loads.values()) {
            slots += load.countedSlots(nowMs);
        }
        return slots;
    }

    /** Returns when a slot may become free without a release: a probe of an open circuit, or a step of a slow start. */
    public OptionalLong nextFreeSlotMs(long nowMs) {
        return loads.values().stream()
                .filter(load -> !load.isLeaving())
                .mapToLong(load -> load.nextChangeMs(nowMs))
                .filter(atMs -> atMs > nowMs)
                .min();
    }

    /** Returns the average time that a request holds a slot, in milliseconds; 0 until measured. */
    public double serviceMs(long promptTokens, long outputTokens, long nowMs) {
        return average(load -> load.serviceMs(promptTokens, outputTokens), nowMs);
    }

    /** Returns the average time to the first token once a slot is granted, in milliseconds; 0 until measured. */
    public double firstTokenMs(long promptTokens, long nowMs) {
        double leastMs = Double.NaN;
        for (EngineLoad load : loads.values()) {
            double predictedMs = load.firstTokenMs(promptTokens, nowMs);
            if (load.freeSlots(nowMs) > 0 && !Double.isNaN(predictedMs)) {
                leastMs = Double.isNaN(leastMs) ? predictedMs : Math.min(leastMs, predictedMs);
            }
        }
        // With no free slot the prompts granted so far are processed before one becomes free.
        return Double.isNaN(leastMs) ? average(load -> load.serviceMs(promptTokens, 0), nowMs) : leastMs;
    }

    private double average(ToDoubleFunction<EngineLoad> value, long nowMs) {
        double sum = 0;
        int slots = 0;
        for (EngineLoad load : loads.values()) {
            double each = value.applyAsDouble(load);
            int weight = load.countedSlots(nowMs);
            if (!Double.isNaN(each) && weight > 0) {
                sum += each * weight;
                slots += weight;
            }
        }
        return slots == 0 ? 0 : sum / slots;
    }

    /**
     * Chooses an upstream; the caller counts the slot with {@link EngineLoad#occupy}.
     *
     * @param promptTokens estimated prompt tokens
     * @param outputTokens estimated output tokens
     * @param excluded names of upstreams that must not be chosen
     * @param affinityKey requests with the same key are likely to share a prompt prefix; empty for none
     * @param nowMs present time
     */
    public Optional<EngineLoad> select(
            long promptTokens, long outputTokens, Set<String> excluded, String affinityKey, long nowMs) {
        EngineLoad best = null;
        EngineLoad affine = null;
        double bestCost = Double.POSITIVE_INFINITY;
        long affineHash = Long.MIN_VALUE;
        for (EngineLoad load : loads.values()) {
            // Affinity is hashed over all upstreams, free or not, so that a key keeps its upstream.
            if (!affinityKey.isEmpty() && !load.isLeaving()) {
                long hash = RendezvousHash.hash(affinityKey, load.upstream().id());
                if (affine == null || hash > affineHash) {
                    affine = load;
                    affineHash = hash;
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
        if (affine != null && affine != best && isFree(affine, excluded, nowMs) && withinBounds(affine, nowMs)) {
            if (affine.cost(promptTokens, outputTokens, nowMs) <= bestCost * AFFINITY_COST_BOUND_RATIO) {
                return Optional.of(affine);
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean withinBounds(EngineLoad affine, long nowMs) {
        int limits = 0;
        int inFlight = 0;
        for (EngineLoad load : loads.values()) {
            limits += load.countedSlots(nowMs);
            inFlight += load.inFlight();
        }
        double averageFill = (inFlight + 1) / (double) Math.max(1, limits);
        return affine.inFlight() + 1 <= Math.ceil(AFFINITY_LOAD_BOUND_RATIO * averageFill * affine.limit(nowMs));
    }

    private static boolean isFree(EngineLoad load, Set<String> excluded, long nowMs) {
        return load.freeSlots(nowMs) > 0 && !excluded.contains(load.upstream().id());
    }
}
