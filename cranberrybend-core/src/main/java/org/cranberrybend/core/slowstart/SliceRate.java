package org.cranberrybend.core.slowstart;

import java.util.Optional;

/**
 * The division of the request rate of one upstream among a few senders, each of which keeps an interval between its
 * requests.
 *
 * <p>In a closed window of {@link #WINDOW_MS}, a sender sends at most {@link #maxPerSender()} requests, and the senders
 * that one list of instances names at most {@link #maxPerList()}. Two lists may name different senders, so the maximum
 * for one list is half the bound.
 *
 * @param senders number of instances that may send to the upstream
 * @param intervalMs shortest time between two requests of one sender, in milliseconds
 */
public record SliceRate(int senders, long intervalMs) {
    /** Window in which the number of requests is bounded, in milliseconds. */
    public static final long WINDOW_MS = 1_000;

    /**
     * Largest number of senders. More senders let more instances use the upstream, and the loss of one costs less; but
     * each sends more rarely, so that a request waits longer for the slot of its instance.
     */
    private static final int MAX_SENDERS = 4;

    /** Number of lists of instances that may be in use at the same time. */
    private static final int LISTS = 2;

    public SliceRate {
        if (senders < 1 || intervalMs < 1) {
            throw new IllegalArgumentException("senders and interval must be positive");
        }
    }

    /**
     * Returns the division for an upstream that sustains the given rate; empty if two lists of instances cannot stay
     * within the bound, so that nothing may be sent.
     *
     * @param ratePerS target rate of all instances together, in requests per second
     * @param overshoot factor by which the bound exceeds the rate
     * @param slack requests added to the bound
     */
    public static Optional<SliceRate> within(double ratePerS, double overshoot, double slack) {
        int maxPerList = (int) Math.min(Integer.MAX_VALUE, Math.floor((ratePerS * overshoot + slack) / LISTS));
        int senders = 0;
        int bestPerList = 0;
        for (int candidate = 1; candidate <= MAX_SENDERS; candidate++) {
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
        long boundedMs = WINDOW_MS * senders / bestPerList + 1;
        long targetMs = (long) Math.ceil(WINDOW_MS * senders / ratePerS);
        return Optional.of(new SliceRate(senders, Math.max(boundedMs, targetMs)));
    }

    /** Returns the largest number of requests of one sender in a window. */
    public int maxPerSender() {
        return (int) (WINDOW_MS / intervalMs) + 1;
    }

    /** Returns the largest number of requests in a window of all senders that one list of instances names. */
    public int maxPerList() {
        return senders * maxPerSender();
    }
}
