package org.cranberrybend.core.balancing;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * Chooses one of several upstreams whose loads are known with a delay. Other instances choose by the same reports: if
 * each chose the least loaded upstream, all requests that arrive until the next report would go there. The requests that
 * arrive meanwhile are therefore thought of as filling the least loaded upstreams up to a common level, and an upstream
 * is drawn with the probability of the part that it receives. The loads are then even when the reports are replaced.
 *
 * <p>If nothing arrives from others, the least loaded upstream is chosen, and one of equally loaded ones is drawn.
 *
 * <p>One object serves all choices of an event loop, so that a choice creates no objects.
 */
public final class BalancedChoice {
    /** No candidate was added. */
    public static final int NONE = -1;

    private static final int INITIAL_CAPACITY = 128;
    /** Difference up to which loads are equal; covers rounding. */
    private static final double EQUAL_LOAD = 1e-9;

    private final RandomGenerator random;
    private double[] loads = new double[INITIAL_CAPACITY];
    private double[] slots = new double[INITIAL_CAPACITY];
    private int size;
    private double arrivals;

    /** Creates a choice with a source of random numbers, which must differ among instances. */
    public BalancedChoice(RandomGenerator random) {
        this.random = random;
    }

    /** Forgets the candidates of the last choice. */
    public void clear() {
        size = 0;
        arrivals = 0;
    }

    /**
     * Adds a candidate.
     *
     * @param load expected requests per slot, and penalties in the same unit
     * @param slotCount requests that it executes at the same time
     * @param expectedArrivals requests that others send to one such upstream until its next report, on average
     */
    public void add(double load, int slotCount, double expectedArrivals) {
        if (size == loads.length) {
            loads = Arrays.copyOf(loads, size * 2);
            slots = Arrays.copyOf(slots, size * 2);
        }
        loads[size] = load;
        slots[size] = Math.max(1, slotCount);
        arrivals += expectedArrivals;
        size++;
    }

    /** Returns the position of the chosen candidate in the order of their addition; {@link #NONE} without any. */
    public int draw() {
        if (size == 0) {
            return NONE;
        }
        double level = level();
        double total = 0;
        for (int i = 0; i < size; i++) {
            total += Math.max(0, level - loads[i]) * slots[i];
        }
        double position = random.nextDouble() * total;
        int last = NONE;
        for (int i = 0; i < size; i++) {
            double part = (level - loads[i]) * slots[i];
            if (part > 0) {
                last = i;
                position -= part;
                if (position < 0) {
                    return i;
                }
            }
        }
        return last;
    }

    /** Returns the load per slot up to which the arrivals fill the least loaded upstreams. */
    private double level() {
        double least = Double.MAX_VALUE;
        for (int i = 0; i < size; i++) {
            least = Math.min(least, loads[i]);
        }
        double level = Double.MAX_VALUE;
        while (true) {
            double filled = arrivals;
            double capacity = 0;
            for (int i = 0; i < size; i++) {
                if (loads[i] < level) {
                    filled += loads[i] * slots[i];
                    capacity += slots[i];
                }
            }
            double next = Math.max(least + EQUAL_LOAD, filled / capacity);
            if (next >= level) {
                return level;
            }
            level = next;
        }
    }
}
