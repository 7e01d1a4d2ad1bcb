package org.cranberrybend.entry.upstream;

import java.util.Optional;
import java.util.OptionalInt;
import org.cranberrybend.entry.http.ClientConnection;

/**
 * What this process knows of one upstream. Confined to the event loop.
 *
 * <p>The upstream's own figures come with its responses and are as old as those; the counts of this process are exact
 * but leave out what other instances send.
 */
public final class Upstream {
    /** Failures in a row after which an upstream is set aside. */
    private static final int EJECTION_FAILURES = 3;

    /** Time without a byte on any connection; an engine that works sends events of some stream far more often. */
    private static final long SILENCE_MS = 1_000;

    private static final long SILENT_EJECTION_MS = 2_000;
    private static final long FIRST_EJECTION_MS = 1_000;
    private static final long MAX_EJECTION_MS = 8_000;
    /** Age from which the upstream's own figures say nothing. */
    private static final long REPORT_VALID_MS = 1_500;
    /** Age up to which the upstream's own figures tell the load of the fleet. */
    private static final long REPORT_RECENT_MS = 3_000;

    private UpstreamRecord entry;
    private final ConnectionPool pool;
    private boolean gone;
    private int running;
    private long prefillTokens;
    private int reportedRunning;
    private int reportedWaiting;
    private int ownAtReport;
    /** Whether the last figure came with a response to this process. */
    private boolean heardHere;

    private long reportedAtMs = Long.MIN_VALUE / 2;
    private long heardMs = Long.MIN_VALUE / 2;
    private int failuresInRow;
    private long ejectionMs = FIRST_EJECTION_MS;
    private long ejectedUntilMs = Long.MIN_VALUE / 2;

    Upstream(UpstreamRecord entry, ConnectionPool pool) {
        this.entry = entry;
        this.pool = pool;
    }

    /** Returns the entry that the platform lists. */
    public UpstreamRecord entry() {
        return entry;
    }

    /** Returns the connections to the upstream. */
    public ConnectionPool pool() {
        return pool;
    }

    void update(UpstreamRecord next) {
        entry = next;
    }

    void markGone() {
        gone = true;
        pool.close();
    }

    /** Returns whether new requests may be sent. */
    public boolean accepts(long nowMs) {
        return !gone && !entry.leaving() && nowMs >= ejectedUntilMs;
    }

    /** Returns whether the upstream is listed as ready, though it may be set aside at present. */
    public boolean isListedReady() {
        return !gone && !entry.leaving();
    }

    /** Takes note of a request that is about to be sent. */
    public void begin(long tokensToRead) {
        running++;
        prefillTokens += tokensToRead;
    }

    /** Takes note that the engine has read the prompt of a request. */
    public void promptRead(long tokensToRead) {
        prefillTokens -= tokensToRead;
    }

    /** Takes note that a request has ended. */
    public void end() {
        running--;
    }

    /** Returns the requests of this process that run or wait at the upstream. */
    public int running() {
        return running;
    }

    /** Returns the prompt tokens that this process has sent and that were not read yet. */
    public long prefillTokens() {
        return prefillTokens;
    }

    /** Takes note of the upstream's own figures. */
    public void reported(int runningRequests, int waitingRequests, long nowMs) {
        reportedRunning = runningRequests;
        reportedWaiting = waitingRequests;
        ownAtReport = running;
        reportedAtMs = nowMs;
        heardHere = true;
    }

    /** Takes a figure that another instance has heard, if it is later than the one known here. */
    void reportedElsewhere(LoadReport figure, long nowMs) {
        if (nowMs - figure.ageMs() > reportedAtMs) {
            reportedRunning = figure.requests();
            reportedWaiting = 0;
            ownAtReport = running;
            reportedAtMs = nowMs - figure.ageMs();
            heardHere = false;
        }
    }

    /**
     * Returns the upstream's last figure if it is not older than the given age.
     *
     * @param heardHereOnly whether figures that other instances have told are left out
     */
    Optional<LoadReport> loadFigure(long maxAgeMs, boolean heardHereOnly, long nowMs) {
        long ageMs = nowMs - reportedAtMs;
        return ageMs > maxAgeMs || heardHereOnly && !heardHere
                ? Optional.empty()
                : Optional.of(new LoadReport(entry.id(), reportedRunning + reportedWaiting, ageMs));
    }

    /** Returns the requests that run or wait at the upstream, estimated from its last figures and this process's own. */
    public int estimatedRequests(long nowMs) {
        if (nowMs - reportedAtMs > REPORT_VALID_MS) {
            return running;
        }
        return Math.max(running, reportedRunning + reportedWaiting + running - ownAtReport);
    }

    /** Returns the requests of all instances at the upstream if it reported them lately, for decisions that may lag. */
    public OptionalInt recentlyReportedRequests(long nowMs) {
        return nowMs - reportedAtMs > REPORT_RECENT_MS
                ? OptionalInt.empty()
                : OptionalInt.of(reportedRunning + reportedWaiting);
    }

    /** Takes note of bytes that came from the upstream. */
    public void heard(long nowMs) {
        heardMs = nowMs;
    }

    /** Returns whether nothing was heard for a while though a request was sent at the given time. */
    public boolean isSilentSince(long sentMs, long nowMs) {
        return nowMs - Math.max(sentMs, heardMs) >= SILENCE_MS;
    }

    /** Sets the upstream aside because it is silent. */
    public void markSilent(long nowMs) {
        failuresInRow = EJECTION_FAILURES;
        ejectedUntilMs = nowMs + SILENT_EJECTION_MS;
    }

    /** Takes note of a response that the upstream gave as it should. */
    public void succeeded() {
        failuresInRow = 0;
        ejectionMs = FIRST_EJECTION_MS;
    }

    /** Takes note of a failure; returns whether the upstream is set aside because of it. */
    public boolean failed(long nowMs) {
        failuresInRow++;
        if (failuresInRow < EJECTION_FAILURES || nowMs < ejectedUntilMs) {
            return false;
        }
        ejectedUntilMs = nowMs + ejectionMs;
        ejectionMs = Math.min(MAX_EJECTION_MS, ejectionMs * 2);
        return true;
    }

    /** Gives back a connection. */
    public void release(ClientConnection connection) {
        pool.release(connection);
    }
}
