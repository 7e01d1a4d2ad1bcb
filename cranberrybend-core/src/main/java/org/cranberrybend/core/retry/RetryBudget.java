package org.cranberrybend.core.retry;

/**
 * Retry budget: limits retries to a fraction of the successful requests, so that retries do not multiply the load on
 * upstreams that fail because of overload.
 *
 * <p>Not thread-safe; the owner serializes access.
 */
public final class RetryBudget {
    private final double ratio;
    private double capacity;
    private double available;
    private double highestAvailable;
    private boolean filled;

    /**
     * Creates a full budget.
     *
     * @param ratio retries added by one success, between 0 and 1
     * @param capacity maximum number of available retries, at least 1; also the number available at the start
     */
    public RetryBudget(double ratio, double capacity) {
        this(ratio, capacity, capacity);
        filled = true;
    }

    /**
     * Creates an empty budget, which may be {@link #fillOnce() filled} later.
     *
     * @param ratio retries added by one success, between 0 and 1
     * @param capacity maximum number of available retries, at least 1
     */
    public static RetryBudget empty(double ratio, double capacity) {
        return new RetryBudget(ratio, capacity, 0);
    }

    private RetryBudget(double ratio, double capacity, double available) {
        if (!(ratio >= 0 && ratio <= 1) || !(capacity >= 1)) {
            throw new IllegalArgumentException(
                    "ratio must be between 0 and 1 and capacity at least 1: " + ratio + ", " + capacity);
        }
        this.ratio = ratio;
        this.capacity = capacity;
        this.available = available;
        this.highestAvailable = available;
    }

    /** Records a request that succeeded. */
    public void recordSuccess() {
        available = Math.min(capacity, available + ratio);
        highestAvailable = Math.max(highestAvailable, available);
    }

    /**
     * Adds the part of the capacity that was never available, if this budget was created empty; later calls have no
     * effect. What was available at any earlier time and what is added then do not exceed the capacity together, so that
     * no period across this call has more retries than the capacity and what was earned in it.
     */
    public void fillOnce() {
        if (!filled) {
            filled = true;
            available += Math.max(0, capacity - highestAvailable);
        }
    }

    /**
     * Changes the capacity. Available retries above it are lost, and none are added.
     *
     * @param newCapacity maximum number of available retries; values below 1 count as 1
     */
    public void setCapacity(double newCapacity) {
        capacity = Math.max(1, newCapacity);
        available = Math.min(available, capacity);
    }

    /** Acquires one retry from the budget and returns whether one was available. */
    public boolean tryAcquire() {
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }

    /** Returns the number of retries available. */
    public double available() {
        return available;
    }
}
