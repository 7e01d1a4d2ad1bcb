package org.cranberrybend.core.rateshare;

import java.util.Optional;

/**
 * The division of the request rate of one upstream among a few senders, each of which keeps an interval between its
 * requests.
 *
 * <p>In a closed window, a sender sends at most {@link #maxPerSender()} requests, and the senders that one list of
 * instances names at most {@link #maxPerList()}. Two lists may name different senders, so the maximum for one list is
 * half the bound.
 *
 * @param senders number of instances that may send to the upstream
 * @param intervalMs shortest time between two requests of one sender, in milliseconds
 * @param windowMs window in which the number of requests is bounded, in milliseconds
 */
public record SliceRate(int senders, long intervalMs, long windowMs) {
    /** Window in which the number of requests to an upstream that is warming up is bounded, in milliseconds. */
    private static final long WARM_UP_WINDOW_MS = 1_000;

    /**
     * Largest number of senders during a warm-up. More senders let more instances use the upstream, and the loss of one costs less; but
     * each sends more rarely, so that a request waits longer for the slot of its instance.
     */
    private static final int MAX_WARM_UP_SENDERS = 4;

    /** Number of lists of instances that may be in use at the same time. */
    private static final int LISTS = 2;

    /** Part of the largest possible rate that is given up at most, so that more instances can use the upstream. */
    private static final double MAX_UNUSED_RATIO = 0.2;

    /**
     * Longest interval between the requests of a sender to an upstream that has stated a limit. Requests as rare as that
     * show when a limit of almost nothing has ended.
     */
    private static final long MAX_LIMIT_INTERVAL_MS = 10_000;

    private static final double MS_PER_S = 1_000;

    public SliceRate {
        if (senders < 1 || intervalMs < 1 || windowMs < 1) {
            throw new IllegalArgumentException("senders, interval and window must be positive");
        }
    }

    /**
     * Returns the division for an upstream that is warming up and sustains the given rate; empty if two lists of
     * instances cannot stay within the bound, so that nothing may be sent.
     *
     * @param ratePerS target rate of all instances together, in requests per second
     * @param overshoot factor by which the bound exceeds the rate
     * @param slack requests added to the bound
     */
    public static Optional<SliceRate> within(double ratePerS, double overshoot, double slack) {
        int maxPerList = (int) Math.min(Integer.MAX_VALUE, Math.floor((ratePerS * overshoot + slack) / LISTS));
        int senders = 0;
        int bestPerList = 0;
        for (int candidate = 1; candidate <= MAX_WARM_UP_SENDERS; candidate++) {
            int perList = maxPerList / candidate * candidate;
            if (perList >= bestPerList && perList > 0) {
                senders = candidate;
                bestPerList = perList;
            }
        }
        if (senders == 0 || ratePerS <= 0) {
            return Optional.empty();
        }
        // An interval longer than the window divided by n admits at most n requests in a closed window.
        long boundedMs = WARM_UP_WINDOW_MS * senders / bestPerList + 1;
        long targetMs = (long) Math.ceil(MS_PER_S * senders / ratePerS);
        return Optional.of(new SliceRate(senders, Math.max(boundedMs, targetMs), WARM_UP_WINDOW_MS));
    }

    /**
     * Returns the division for an upstream that has stated a limit. Two lists of instances stay within the bound if it
     * allows two requests at all.
     *
     * @param limitPerS requests per second that the upstream takes from all instances together; may be 0
     * @param instances number of instances among which the rate is divided
     */
    public static SliceRate ofLimit(double limitPerS, LimitBound bound, int instances) {
        int maxPerList = (int) Math.min(Integer.MAX_VALUE, Math.max(1, bound.maxRequests(limitPerS) / LISTS));
        int senders = Math.max(1, Math.min(maxPerList, instances));
        while (maxPerList / senders * senders < (1 - MAX_UNUSED_RATIO) * maxPerList) {
            senders--;
        }
        // With fewer senders, each stays within the longest interval also for a small limit.
        senders = (int) Math.max(1, Math.min(senders, limitPerS * MAX_LIMIT_INTERVAL_MS / MS_PER_S));
        long boundedMs = bound.windowMs() / (maxPerList / senders) + 1;
        long targetMs = (long) Math.min(MAX_LIMIT_INTERVAL_MS, Math.ceil(MS_PER_S * senders / limitPerS));
        return new SliceRate(senders, Math.max(boundedMs, targetMs), bound.windowMs());
    }

    /** Returns the largest number of requests of one sender in a window. */
    public int maxPerSender() {
        return (int) (windowMs / intervalMs) + 1;
    }

    /** Returns the largest number of requests in a window of all senders that one list of instances names. */
    public int maxPerList() {
        return senders * maxPerSender();
    }
}
