package org.cranberrybend.entry.upstream;

import java.util.Optional;
import java.util.OptionalInt;
import org.cranberrybend.core.balancing.ServiceLoad;
import org.cranberrybend.core.engine.ServiceEngineModel;
import org.cranberrybend.entry.http.ClientConnection;

/**
 * The state of one upstream as known to this process: load, health, warm-up and connections. Confined to the event loop.
 */
public final class Upstream {
    /** Number of consecutive failures after which an upstream is ejected. */
    private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;

    /** Time without a byte on any connection; the streams of a working engine send events far more often. */
    private static final long UNRESPONSIVE_AFTER_MS = 1_000;

    /** Time after a pause over which the number of requests rises to the slots of the upstream. */
    private static final long PAUSE_RAMP_MS = 1_000;

    /** Longest remaining warm-up time that is believed, so that a wrong value does not limit an upstream for days. */
    private static final long MAX_WARM_UP_MS = 3_600_000;

    private static final long UNRESPONSIVE_EJECTION_MS = 2_000;
    private static final long FIRST_EJECTION_MS = 1_000;
    private static final long MAX_EJECTION_MS = 8_000;

    private UpstreamRecord entry;
    private final ConnectionPool pool;
    private final RateLimit rateLimit;
    private boolean removed;
    /** Whether the process of the upstream has stated in a response that it is leaving. */
    private boolean leavingStated;
    /** Monotonic time until which the process wants no requests from this instance. */
    private long pausedUntilMs = Long.MIN_VALUE / 2;
    /** Monotonic time at which the warm-up ends or has ended, as far as known. */
    private long warmUpEndMs = Long.MIN_VALUE / 2;
    /** The same time by the last entry alone: instances that know the entry do not know what is assumed here. */
    private long statedWarmUpEndMs = Long.MIN_VALUE / 2;
    /** Entries up to this revision of the store do not end the warm-up that is assumed until {@link #warmUpEndMs}. */
    private long warmUpAssumedAtRevision = -1;

    private final UpstreamLoad load;
    private final EngineState engine;
    private long lastReceivedMs = Long.MIN_VALUE / 2;
    private int consecutiveFailures;
    private long nextEjectionMs = FIRST_EJECTION_MS;
    private long ejectedUntilMs = Long.MIN_VALUE / 2;

    Upstream(
            UpstreamRecord entry,
            ConnectionPool pool,
            RateLimit rateLimit,
            ServiceEngineModel engines,
            ServiceLoad service) {
        this.entry = entry;
        this.pool = pool;
        this.rateLimit = rateLimit;
        this.load = new UpstreamLoad(service);
        this.engine = new EngineState(entry.id(), engines, load);
    }

    /** Returns what is known of the upstream as a model engine. */
    public EngineState engine() {
        return engine;
    }

    UpstreamLoad load() {
        return load;
    }

    /** Returns the current entry of the upstream in the store. */
    public UpstreamRecord entry() {
        return entry;
    }

    /** Returns the rate limit that the process of the upstream has stated. */
    RateLimit rateLimit() {
        return rateLimit;
    }

    /** Returns the connections to the upstream. */
    public ConnectionPool pool() {
        return pool;
    }

    void update(UpstreamRecord next) {
        entry = next;
    }

    /**
     * Applies the remaining warm-up time of an entry. It was measured before the entry was received, so the warm-up ends
     * no later than by it. Returns whether the upstream was not known to be warming up.
     *
     * @param revision revision of the store in which the entry was written
     */
    boolean stateWarmUp(long remainingMs, long revision, long nowMs) {
        boolean wasWarmingUp = nowMs < warmUpEndMs;
        long endMs = endOfWarmUp(remainingMs, nowMs);
        statedWarmUpEndMs = endMs;
        if (wasWarmingUp && revision <= warmUpAssumedAtRevision) {
            warmUpEndMs = Math.max(warmUpEndMs, endMs);
        } else if (remainingMs > 0 || wasWarmingUp) {
            warmUpEndMs = endMs;
        }
        return !wasWarmingUp && nowMs < warmUpEndMs;
    }

    /** Assumes that the upstream warms up for a time, unless an entry of a later revision says otherwise. */
    void assumeWarmUp(long durationMs, long revision, long nowMs) {
        warmUpAssumedAtRevision = nowMs < warmUpEndMs ? Math.max(warmUpAssumedAtRevision, revision) : revision;
        warmUpEndMs = Math.max(warmUpEndMs, endOfWarmUp(durationMs, nowMs));
    }

    /** Returns whether an entry states a later end of the warm-up than the last one. */
    boolean isWarmUpExtended(long remainingMs, long nowMs) {
        return remainingMs > 0 && endOfWarmUp(remainingMs, nowMs) > statedWarmUpEndMs;
    }

    private static long endOfWarmUp(long remainingMs, long nowMs) {
        return nowMs + Math.min(MAX_WARM_UP_MS, Math.max(0, remainingMs));
    }

    /** Returns the monotonic time at which the warm-up ends or has ended, as far as known. */
    long warmUpEndMs() {
        return warmUpEndMs;
    }

    void markRemoved() {
        removed = true;
        pool.close();
    }

    /**
     * Records that the process has stated in a response that it is leaving. Its entry may say so only later, or never,
     * and does not take the statement back.
     */
    void markLeavingStated() {
        leavingStated = true;
        pool.close();
    }

    /** Closes the idle connections, and each connection in use as soon as its response is complete. */
    void suspendConnections() {
        pool.close();
    }

    /** Keeps connections again after {@link #suspendConnections}, unless the upstream is removed or leaving. */
    void resumeConnections() {
        if (!removed && !leavingStated) {
            pool.reopen();
        }
    }

    /** Returns whether the process has stated in a response that it is leaving; nothing more may be sent to it. */
    public boolean isLeavingStated() {
        return leavingStated;
    }

    /** Sets until when the process wants no requests from this instance; idle connections are kept for later. */
    void pauseUntil(long untilMs) {
        pausedUntilMs = untilMs;
    }

    /** Returns whether the process wants no requests from this instance for now. */
    public boolean isPaused(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    /** Returns the monotonic time until which the process wants no requests from this instance. */
    long pausedUntilMs() {
        return pausedUntilMs;
    }

    /**
     * Returns whether a request may be sent as far as pauses go. After a pause the requests in progress rise over a
     * ramp, so that those that have waited do not arrive all at once.
     */
    boolean admitsAfterPause(long nowMs) {
        long elapsedMs = nowMs - pausedUntilMs;
        return elapsedMs >= PAUSE_RAMP_MS
                || elapsedMs >= 0 && load.running() < 1 + entry.slots() * elapsedMs / PAUSE_RAMP_MS;
    }

    /** Returns whether the upstream is leaving by its entry or by its own statement. */
    public boolean isLeaving() {
        return entry.leaving() || leavingStated;
    }

    /** Returns whether new requests may be sent: the upstream is listed, not leaving, not paused and not ejected. */
    public boolean accepts(long nowMs) {
        return isListedReady() && admitsAfterPause(nowMs) && nowMs >= ejectedUntilMs;
    }

    /** Returns whether the upstream is listed as ready; it may be ejected nevertheless. */
    public boolean isListedReady() {
        return !removed && !isLeaving();
    }

    /** Records a request that is about to be sent. */
    public void begin(long promptTokens) {
        load.begin(promptTokens);
    }

    /** Records that the prefill of a request is complete, or that the request has ended before. */
    public void recordPrefillEnd(long promptTokens) {
        load.recordPrefillEnd(promptTokens);
    }

    /** Records the end of a request. */
    public void end() {
        load.end();
    }

    /** Returns the number of requests of this process in progress at the upstream. */
    public int running() {
        return load.running();
    }

    /** Returns the number of prompt tokens that this process has sent and whose prefill is not complete. */
    public long prefillTokens() {
        return load.prefillTokens();
    }

    /** Records a load report that came with a response to this process. */
    public void reported(int runningRequests, int waitingRequests, long nowMs) {
        load.recordReport(runningRequests, waitingRequests, entry.slots(), nowMs);
    }

    /** Records a load report that another instance has received, if it is newer than the one known here. */
    void mergeLoadReport(LoadReport report, long nowMs) {
        load.merge(report, entry.slots(), nowMs);
    }

    /**
     * Returns the last load report if it is not older than the given age.
     *
     * @param receivedHereOnly whether a report is left out that came from another instance
     */
    Optional<LoadReport> loadReport(long maxAgeMs, boolean receivedHereOnly, long nowMs) {
        return load.report(entry.id(), maxAgeMs, receivedHereOnly, nowMs);
    }

    /**
     * Returns the estimated number of running and waiting requests, from the last load report and this process's
     * counts.
     */
    public int estimatedRequests(long nowMs) {
        return load.estimatedRequests(nowMs);
    }

    /** Records the time that a complete request took. */
    public void recordDuration(long requestMs) {
        load.recordDuration(requestMs);
    }

    /**
     * Returns the expected number of running and waiting requests: the own ones, those of others that were reported and
     * are expected to be still in progress, and those that others are expected to have sent since.
     */
    public double expectedRequests(long nowMs) {
        return load.expectedRequests(entry.slots(), nowMs);
    }

    /** Returns the age of the last load report in milliseconds; -1 if there is none. */
    public long loadReportAgeMs(long nowMs) {
        long ageMs = load.reportAgeMs(nowMs);
        return ageMs > Long.MAX_VALUE / 4 ? -1 : ageMs;
    }

    /** Returns the requests of all instances by a recent load report, for decisions that tolerate a delay. */
    public OptionalInt recentlyReportedRequests(long nowMs) {
        return load.recentlyReportedRequests(nowMs);
    }

    /** Records the receipt of bytes from the upstream. */
    public void recordReceived(long nowMs) {
        lastReceivedMs = nowMs;
    }

    /**
     * Returns whether the upstream has sent nothing for too long since a request was sent.
     *
     * @param sentMs time at which the request was sent
     * @param allowedPauseMs time without a byte that is normal for the request
     */
    public boolean isUnresponsiveSince(long sentMs, long allowedPauseMs, long nowMs) {
        return nowMs - Math.max(sentMs, lastReceivedMs) >= Math.max(UNRESPONSIVE_AFTER_MS, allowedPauseMs);
    }

    /** Ejects the upstream because it is unresponsive; unless a response succeeds, the next failure ejects it again. */
    public void ejectUnresponsive(long nowMs) {
        consecutiveFailures = CONSECUTIVE_FAILURES_TO_EJECT;
        ejectedUntilMs = nowMs + UNRESPONSIVE_EJECTION_MS;
    }

    /**
     * Ejects the upstream because another process has answered at its address. It has ended, but its entry may still be
     * listed for seconds, and each request that is sent there uses up an attempt.
     */
    public void ejectReplaced(long nowMs) {
        consecutiveFailures = CONSECUTIVE_FAILURES_TO_EJECT - 1;
        recordFailure(nowMs);
        pool.discardIdle();
    }

    /** Records a successful response, which resets the count of failures and the length of the next ejection. */
    public void recordSuccess() {
        consecutiveFailures = 0;
        nextEjectionMs = FIRST_EJECTION_MS;
    }

    /**
     * Records a failure; returns whether it ejects the upstream. Each further ejection lasts twice as long, up to a
     * limit.
     */
    public boolean recordFailure(long nowMs) {
        consecutiveFailures++;
        if (consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT || nowMs < ejectedUntilMs) {
            return false;
        }
        ejectedUntilMs = nowMs + nextEjectionMs;
        nextEjectionMs = Math.min(MAX_EJECTION_MS, nextEjectionMs * 2);
        return true;
    }

    /** Returns a connection to the pool. */
    public void release(ClientConnection connection) {
        pool.release(connection);
    }
}
