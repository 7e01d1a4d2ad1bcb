package org.cranberrybend.entry.upstream;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The load of one upstream as known to this process. The load reports of the upstream cover the requests of all
 * instances, but arrive only with responses and may be outdated. The counts of this process are exact, but do not
 * include the requests of other instances.
 */
final class UpstreamLoad {
    /** Age up to which a load report is used to estimate the load. */
    static final long ESTIMATE_MAX_REPORT_AGE_MS = 1_500;
    /** Age up to which a load report states the load of the fleet for decisions that tolerate a delay. */
    private static final long RECENT_REPORT_AGE_MS = 3_000;

    private int running;
    private long prefillTokens;
    private int reportedRunning;
    private int reportedWaiting;
    private int runningAtReport;
    /** Whether the last load report came with a response to this process rather than from another instance. */
    private boolean reportReceivedHere;

    private long reportedAtMs = Long.MIN_VALUE / 2;

    void begin(long promptTokens) {
        running++;
        prefillTokens += promptTokens;
    }

    void recordPrefillEnd(long promptTokens) {
        prefillTokens -= promptTokens;
    }

    void end() {
        running--;
    }

    int running() {
        return running;
    }

    long prefillTokens() {
        return prefillTokens;
    }

    void reported(int runningRequests, int waitingRequests, long nowMs) {
        reportedRunning = runningRequests;
        reportedWaiting = waitingRequests;
        runningAtReport = running;
        reportedAtMs = nowMs;
        reportReceivedHere = true;
    }

    void merge(LoadReport report, long nowMs) {
        if (nowMs - report.ageMs() > reportedAtMs) {
            reportedRunning = report.requests();
            reportedWaiting = 0;
            runningAtReport = running;
            reportedAtMs = nowMs - report.ageMs();
            reportReceivedHere = false;
        }
    }

    Optional<LoadReport> report(String upstreamId, long maxAgeMs, boolean receivedHereOnly, long nowMs) {
        return reportAgeMs(nowMs) > maxAgeMs || receivedHereOnly && !reportReceivedHere
                ? Optional.empty()
                : Optional.of(new LoadReport(upstreamId, reportedRunning + reportedWaiting, reportAgeMs(nowMs)));
    }

    /** Returns the age of the last report; more than any limit if there is none. */
    long reportAgeMs(long nowMs) {
        return nowMs - reportedAtMs;
    }

    int estimatedRequests(long nowMs) {
        if (reportAgeMs(nowMs) > ESTIMATE_MAX_REPORT_AGE_MS) {
            return running;
        }
        return Math.max(running, reportedRunning + reportedWaiting + running - runningAtReport);
    }

    OptionalInt recentlyReportedRequests(long nowMs) {
        return reportAgeMs(nowMs) > RECENT_REPORT_AGE_MS
                ? OptionalInt.empty()
                : OptionalInt.of(reportedRunning + reportedWaiting);
    }
}
