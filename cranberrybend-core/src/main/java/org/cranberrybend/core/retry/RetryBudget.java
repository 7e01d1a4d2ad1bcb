package org.cranberrybend.core.retry;

/**
 * Bounds the retries of one request class to a fraction of its successes, so that retries cannot multiply the load of
 * upstreams that fail under load.
 *
 * <p>Not thread-safe; the owner serializes access.
 */
public final class RetryBudget {
    private final double ratio;
    private double capacity;
    private double available;

    /**
     * Creates a full budget.
     *
     * @param ratio retries earned by one success, between 0 and 1
     * @param capacity largest number of saved retries, at least 1; also the number available at the start
     */
    public RetryBudget(double ratio, double capacity) {
        if (!(ratio >= 0 && ratio <= 1) || !(capacity >= 1)) {
            throw new IllegalArgumentException(
                    "ratio must be between 0 and 1 and capacity at least 1: " + ratio + ", " + capacity);
        }
        this.ratio = ratio;
        this.capacity = capacity;
        this.available = capacity;
    }

    /** Records a request that succeeded. */
    public void recordSuccess() {
        available = Math.min(capacity, available + ratio);
    }

    /**
     * Changes the largest number of saved retries; saved ones beyond it are lost, none are added.
     *
     * @param newCapacity largest number of saved retries, at least 1
     */
    public void setCapacity(double newCapacity) {
        capacity = Math.max(1, newCapacity);
        available = Math.min(available, capacity);
    }

    /** Takes one retry from the budget and returns whether it was available. */
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
