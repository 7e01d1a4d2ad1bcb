package org.cranberrybend.core.engine;

import org.cranberrybend.core.routing.RendezvousHash;

/**
 * Places a request at one of the first engines in the rendezvous order of its prefix: the first one whose expected cost
 * is not clearly above the least of them. The cost is counted in late requests: that the request itself misses one of
 * its targets, that its prefill makes streams at the engine miss theirs, and the prefill itself.
 *
 * <p>Only the first engines of the order are compared. Instances know the load with a delay; if each compared all
 * engines, long prompts from all of them would go to the same few engines that had few streams at the last report. The
 * orders of different prefixes differ, and a prefix is prefilled at few engines.
 *
 * <p>One object serves all choices of an event loop.
 */
public final class PlacementChoice {
    /** Engines of the order that are compared. */
    private static final int COMPARED = 3;
    /** Difference of costs below which the earlier engine of the order is chosen: estimates are not more exact. */
    private static final double EQUAL_COST = 0.5;
    /**
     * Steepness of the probability to be late by the ratio of the estimate to the target: 0.5 at a ratio of 1, 0.06 at a
     * half. Follows from estimates that are off by up to a factor of two.
     */
    private static final double STEEPNESS = 4;

    private final int[] positions = new int[COMPARED];
    private final long[] hashes = new long[COMPARED];
    private final double[] costs = new double[COMPARED];
    private double firstEventTargetMs;
    private double pauseTargetMs;
    private long prefixHash;
    private long nowMs;
    private int size;

    /**
     * Begins a choice.
     *
     * @param firstEventTargetMs target for the time to the first event; 0 if there is none
     * @param pauseTargetMs target for the longest pause; 0 if there is none
     * @param prefixHash hash of the shared prefix of the prompt
     */
    public void begin(double firstEventTargetMs, double pauseTargetMs, long prefixHash, long nowMs) {
        this.firstEventTargetMs = firstEventTargetMs;
        this.pauseTargetMs = pauseTargetMs;
        this.prefixHash = prefixHash;
        this.nowMs = nowMs;
        size = 0;
    }

    /**
     * Considers an engine, which is kept if it is among the first ones of the prefix's order.
     *
     * @param position position of the engine in the caller's list
     * @param engineHash hash that identifies the engine
     */
    public void consider(int position, long engineHash) {
        long hash = RendezvousHash.combine(prefixHash, engineHash);
        int place = size;
        while (place > 0 && hash > hashes[place - 1]) {
            place--;
        }
        if (place == COMPARED) {
            return;
        }
        size = Math.min(COMPARED, size + 1);
        for (int i = size - 1; i > place; i--) {
            hashes[i] = hashes[i - 1];
            positions[i] = positions[i - 1];
        }
        hashes[place] = hash;
        positions[place] = position;
    }

    /** Returns the number of engines that are compared. */
    public int size() {
        return size;
    }

    /**
     * Returns the position in the caller's list of an engine that is compared.
     *
     * @param place place of the engine in the order of the prefix, from 0 to {@link #size} - 1
     */
    public int position(int place) {
        return positions[place];
    }

    /**
     * Sets what is known of an engine that is compared.
     *
     * @param place place of the engine in the order of the prefix, from 0 to {@link #size} - 1
     * @param load load of the engine; its requests are the expected ones, whatever the age of the report
     * @param uncachedTokens prompt tokens that the engine has to prefill
     */
    public void rate(int place, EngineEstimator engine, EngineLoad load, int slots, double uncachedTokens) {
        LatencyEstimate estimate = engine.estimate(uncachedTokens, load, slots, nowMs);
        double inTimeProbability = (1 - lateness(estimate.firstEventMs(), firstEventTargetMs))
                * (1 - lateness(estimate.longestPauseMs(), pauseTargetMs));
        double streamTargetMs = engine.pauseTargetMs(nowMs);
        double pauseAfterMs = Math.max(estimate.longestPauseMs(), estimate.addedPauseMs());
        double lateBefore = lateness(estimate.longestPauseMs(), streamTargetMs);
        double streams = Math.min(load.requests(), slots);
        double prefill =
                firstEventTargetMs > 0 ? uncachedTokens * engine.prefillMsPerToken(nowMs) / firstEventTargetMs : 0;
        costs[place] =
                1 - inTimeProbability + streams * (lateness(pauseAfterMs, streamTargetMs) - lateBefore) + prefill;
    }

    /** Returns the probability that a time exceeds its target, from an estimate of it. */
    private static double lateness(double estimateMs, double targetMs) {
        if (targetMs <= 0) {
            return 0;
        }
        double ratio = Math.pow(estimateMs / targetMs, STEEPNESS);
        return ratio / (1 + ratio);
    }

    /** Returns the position in the caller's list of the chosen engine; all compared engines must have been rated. */
    public int choose() {
        double least = Double.MAX_VALUE;
        for (int i = 0; i < size; i++) {
            least = Math.min(least, costs[i]);
        }
        for (int i = 0; i < size; i++) {
            if (costs[i] <= least + EQUAL_COST) {
                return positions[i];
            }
        }
        throw new IllegalStateException("no engine was considered");
    }
}
