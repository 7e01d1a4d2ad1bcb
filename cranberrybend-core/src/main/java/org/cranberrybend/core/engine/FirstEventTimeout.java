package org.cranberrybend.core.engine;

/**
 * Time without a byte after which an engine that owes the first event of a stream counts as unresponsive: the mean of
 * the recent times to a first event plus a multiple of their mean deviation, as in the retransmission timeout of TCP.
 * Confined to one thread.
 *
 * <p>A fixed timeout fails under load. Once prefills queue for longer than it, sound engines are ejected, and their
 * requests are prefilled again on engines that have not cached the prefixes, which makes the queues longer still. An
 * attempt that was abandoned has no first event; the time for which it was awaited counts in its place, so that the
 * timeout also rises if no event arrives in time.
 */
public final class FirstEventTimeout {
    private static final double MIN_MS = 1_000;
    /** Leaves time for another attempt within the timeouts of common routes. */
    private static final double MAX_MS = 4_000;

    private static final double MEAN_GAIN = 0.125;
    private static final double DEVIATION_GAIN = 0.25;
    private static final double DEVIATIONS = 4;

    private double meanMs;
    private double deviationMs;
    private boolean known;

    /** Records the time from sending to the first event, or to the end of an attempt that was abandoned before. */
    public void record(double elapsedMs) {
        if (!known) {
            known = true;
            meanMs = elapsedMs;
            deviationMs = elapsedMs / 2;
            return;
        }
        deviationMs += DEVIATION_GAIN * (Math.abs(elapsedMs - meanMs) - deviationMs);
        meanMs += MEAN_GAIN * (elapsedMs - meanMs);
    }

    /** Returns the timeout in milliseconds. */
    public long timeoutMs() {
        return Math.round(Math.max(MIN_MS, Math.min(MAX_MS, meanMs + DEVIATIONS * deviationMs)));
    }
}
