package org.cranberrybend.entry.upstream;

import java.util.Optional;
import java.util.OptionalInt;
import org.cranberrybend.core.balancing.ServiceLoad;

/**
 * The load of one upstream as known to this process. The load reports of the upstream cover the requests of all
 * instances, but arrive only with responses and may be outdated. The counts of this process are exact, but do not
 * include the requests of other instances.
 */
final class UpstreamLoad {
    /** Age up to which a load report is used to estimate the load. */
    private static final long ESTIMATE_MAX_REPORT_AGE_MS = 1_500;
    /** Age up to which a load report states the load of the fleet for decisions that tolerate a delay. */
    private static final long RECENT_REPORT_AGE_MS = 3_000;

    private final ServiceLoad service;
    private int running;
    private long prefillTokens;
    private int reportedRunning;
    private int reportedWaiting;
    private int runningAtReport;
    /** Whether the last load report came with a response to this process rather than from another instance. */
    private boolean reportReceivedHere;

    private long reportedAtMs = Long.MIN_VALUE / 2;

    UpstreamLoad(ServiceLoad service) {
        this.service = service;
    }

    ServiceLoad service() {
        return service;
    }

    void recordDuration(long requestMs) {
        service.recordDuration(requestMs);
    }

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

    void recordReport(int runningRequests, int waitingRequests, int slots, long nowMs) {
        reportedRunning = runningRequests;
        reportedWaiting = waitingRequests;
        runningAtReport = running;
        double intervalMs = reportAgeMs(nowMs);
        reportedAtMs = nowMs;
        reportReceivedHere = true;
        service.recordReport(reportedOthers(), slots, intervalMs);
    }

    void merge(LoadReport report, int slots, long nowMs) {
        if (nowMs - report.ageMs() > reportedAtMs) {
            reportedRunning = report.requests();
            reportedWaiting = 0;
            runningAtReport = running;
            double intervalMs = reportAgeMs(nowMs) - report.ageMs();
            reportedAtMs = nowMs - report.ageMs();
            reportReceivedHere = false;
            service.recordReport(reportedOthers(), slots, intervalMs);
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

    private int reportedOthers() {
        return Math.max(0, reportedRunning + reportedWaiting - runningAtReport);
    }

    double expectedRequests(int slots, long nowMs) {
        return running + service.expectedOthers(reportedOthers(), reportAgeMs(nowMs), slots);
    }

    /** Returns the own requests, and those of others that were reported and are expected to be still in progress. */
    double remainingRequests(long nowMs) {
        return running + reportedOthers() * service.remainingRatio(reportAgeMs(nowMs));
    }

    /** Returns the requests that others are expected to send before the next report and that are in progress then. */
    double arrivalsUntilNextReport(int slots, int instances, long nowMs) {
        return service.arrivalsUntilNextReport(reportAgeMs(nowMs), slots, instances);
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
