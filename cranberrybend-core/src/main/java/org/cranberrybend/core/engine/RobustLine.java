package org.cranberrybend.core.engine;

import java.util.Arrays;

/**
 * A line through the latest samples (Theil-Sen estimator): the slope is the median of the slopes of all pairs, and the
 * offset the median of the remainders. Up to 29 % of the samples may be arbitrary. Keeps a fixed number of samples.
 */
final class RobustLine {
    /** Samples that are kept. */
    private static final int WINDOW = 40;
    /** Samples between two computations, which compare all pairs of the window. */
    private static final int REFIT_INTERVAL = 4;

    /** Samples needed for a line. */
    private static final int MIN_SAMPLES = 6;
    /** Pairs needed for a slope; with fewer, the samples have too similar arguments and the slope in use stays. */
    private static final int MIN_PAIRS = 12;

    private final double minDistance;
    private final double minSlope;
    private final double maxSlope;
    private final double[] arguments = new double[WINDOW];
    private final double[] values = new double[WINDOW];
    private final double[] scratch = new double[WINDOW * (WINDOW - 1) / 2];
    private int size;
    private int next;
    private int sinceRefit;
    private double slope;
    private double offset;

    /**
     * Creates a line without samples, which has the given offset and the largest slope.
     *
     * @param offset value at an argument of 0 before the first samples
     * @param minDistance smallest difference of the arguments of two samples that are compared
     * @param minSlope lower bound of the slope
     * @param maxSlope upper bound of the slope, and its value before the first samples
     */
    RobustLine(double offset, double minDistance, double minSlope, double maxSlope) {
        this.offset = offset;
        this.slope = maxSlope;
        this.minDistance = minDistance;
        this.minSlope = minSlope;
        this.maxSlope = maxSlope;
    }

    void add(double argument, double value) {
        arguments[next] = argument;
        values[next] = value;
        next = (next + 1) % WINDOW;
        size = Math.min(WINDOW, size + 1);
        sinceRefit++;
        if (size >= MIN_SAMPLES && sinceRefit >= REFIT_INTERVAL) {
            sinceRefit = 0;
            refit();
        }
    }

    private void refit() {
        int pairs = 0;
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < i; j++) {
                double distance = arguments[i] - arguments[j];
                if (Math.abs(distance) >= minDistance) {
                    scratch[pairs++] = (values[i] - values[j]) / distance;
                }
            }
        }
        if (pairs >= MIN_PAIRS) {
            slope = Math.max(minSlope, Math.min(maxSlope, median(pairs)));
        }
        for (int i = 0; i < size; i++) {
            scratch[i] = values[i] - slope * arguments[i];
        }
        offset = Math.max(0, median(size));
    }

    private double median(int count) {
        Arrays.sort(scratch, 0, count);
        return (scratch[(count - 1) / 2] + scratch[count / 2]) / 2;
    }

    /** Returns whether the line follows from samples rather than from its initial values. */
    boolean isFitted() {
        return size >= MIN_SAMPLES;
    }

    double at(double argument) {
        return offset + slope * argument;
    }

    double slope() {
        return slope;
    }
}
