package org.cranberrybend.core.balancing;

/**
 * How the load of the upstreams of one service changes after a report. The requests that other instances had in progress
 * are completed at the mean duration of the service, and others send new ones at the rate that keeps the mean load.
 * Confined to one thread.
 */
public final class ServiceLoad {
    private static final double INITIAL_DURATION_MS = 100;
    /** Weight of one request in the mean duration. */
    private static final double DURATION_SMOOTHING = 0.05;
    /** Complete requests from which their mean duration is used to decide about waiting and refusals. */
    private static final int MIN_DURATIONS = 20;
    /** Weight of one report in the means, which follow a change after about 33 reports. */
    private static final double MEAN_SMOOTHING = 0.03;
    /** Upper bound of the interval between two reports; upstreams without traffic report rarely, but change little. */
    private static final double MAX_INTERVAL_MS = 3_000;

    /**
     * Factor on the expected arrivals. Reports come with responses, so they count the requests just after one has ended,
     * and a report of another instance is older than its age says. Without the factor, waits are longer in large fleets
     * with reports 0.1 s old.
     */
    private static final double ARRIVALS_MARGIN = 1.4;

    private double durationMs = INITIAL_DURATION_MS;
    private boolean durationKnown;
    private int durations;
    private double othersPerSlot;
    private double intervalMs;
    private boolean reported;

    /** Records the time that a complete request took at an upstream. */
    public void recordDuration(double requestMs) {
        durationMs = durationKnown ? durationMs + DURATION_SMOOTHING * (requestMs - durationMs) : requestMs;
        durationMs = Math.max(1, durationMs);
        durationKnown = true;
        durations = Math.min(MIN_DURATIONS, durations + 1);
    }

    /** Returns the mean time that a request takes; 0 if too few requests were observed. */
    public double observedDurationMs() {
        return durations < MIN_DURATIONS ? 0 : durationMs;
    }

    /**
     * Records a new report of one upstream.
     *
     * @param others requests of other instances
     * @param sinceLastMs time since the last report of the same upstream
     */
    public void recordReport(double others, int slots, double sinceLastMs) {
        double sample = others / Math.max(1, slots);
        double limitedMs = Math.min(MAX_INTERVAL_MS, sinceLastMs);
        othersPerSlot = reported ? othersPerSlot + MEAN_SMOOTHING * (sample - othersPerSlot) : sample;
        intervalMs = reported ? intervalMs + MEAN_SMOOTHING * (limitedMs - intervalMs) : limitedMs;
        reported = true;
    }

    /** Returns whether the upstreams of the service report their load. */
    public boolean isReported() {
        return reported;
    }

    /** Returns the part of the requests in progress at the time of a report that still are. */
    public double remainingRatio(double ageMs) {
        return Math.exp(-Math.max(0, ageMs) / durationMs);
    }

    /**
     * Returns the expected requests of other instances at an upstream: those that were reported and are still in
     * progress, and those that have arrived since.
     */
    public double expectedOthers(double reportedOthers, double ageMs, int slots) {
        double mean = othersPerSlot * slots;
        return mean + remainingRatio(ageMs) * (reportedOthers - mean);
    }

    /**
     * Returns the requests of others that arrive at an upstream between its last report and the next one and are in
     * progress then, on average over all upstreams. Only those count that are sent by the same information as a choice
     * here: a single other instance, which knows its own requests exactly, does not act alike.
     *
     * @param ageMs age of the last report
     * @param instances instances that send requests; 0 if unknown
     */
    public double arrivalsUntilNextReport(double ageMs, int slots, int instances) {
        if (instances == 1 || instances == 2) {
            return 0;
        }
        double alike = instances == 0 ? 1 : (instances - 2) / (instances - 1.0);
        return ARRIVALS_MARGIN * alike * othersPerSlot * slots * (1 - remainingRatio(ageMs + intervalMs));
    }
}
