package org.cranberrybend.core.rateshare;

/**
 * Bound on the requests that an upstream with a stated limit receives from all instances.
 *
 * @param windowMs window in which the requests are counted, in milliseconds
 * @param overshoot factor by which the bound exceeds what the limit allows in the window
 * @param slack requests added to the bound
 */
public record LimitBound(long windowMs, double overshoot, double slack) {
    private static final double MS_PER_S = 1_000;

    public LimitBound {
        if (windowMs < 1 || !(overshoot >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException("the window must be positive, overshoot and slack not negative");
        }
    }

    /** Returns the largest number of requests in a window. */
    public long maxRequests(double limitPerS) {
        return (long) Math.floor(limitPerS * overshoot * windowMs / MS_PER_S + slack);
    }
}
