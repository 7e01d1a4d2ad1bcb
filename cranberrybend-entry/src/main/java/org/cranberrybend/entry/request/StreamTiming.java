package org.cranberrybend.entry.request;

import org.cranberrybend.core.engine.EngineEstimator;
import org.cranberrybend.entry.upstream.EngineState;
import org.cranberrybend.entry.upstream.Prompt;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * Measures the first event and the pauses of one stream of an engine for the estimate of its latency. Times in which
 * the caller could not receive events are left out.
 */
final class StreamTiming {
    /** Events after which a series is recorded, so that long streams contribute before their end. */
    private static final int SERIES_EVENTS = 32;
    /** Events that a series needs: the longest pause is left out of the mean. */
    private static final int MIN_SERIES_EVENTS = 4;
    /** Part of a prompt that an unknown state of the prefix cache may concern without distorting the fit. */
    private static final double NEGLIGIBLE_PREFIX_RATIO = 0.1;

    private final Upstream upstream;
    private final Prompt prompt;
    private final long prefixHash;
    private final int uncachedTokens;
    private final boolean prefixKnown;
    private final long pauseTargetMs;
    /** Tokens to be prefilled until the first event: those of this prompt and of earlier ones of this instance. */
    private double prefillTokens;

    private boolean queued;
    private long sentMs;
    private long lastEventMs;
    /** Longest pause, total time and number of events of the current series. */
    private long longestPauseMs;

    private long seriesMs;
    private int seriesEvents;
    /** Number of events of the whole stream. */
    private long events;
    /** Whether the next event ends a time in which the caller could not receive events. */
    private boolean interrupted;
    /** Whether the engine has counted as unresponsive because of this stream. */
    private boolean unresponsive;

    StreamTiming(Upstream upstream, Prompt prompt, long pauseTargetMs, long nowMs) {
        this.upstream = upstream;
        this.pauseTargetMs = pauseTargetMs;
        this.prompt = prompt;
        this.prefixHash = prompt.isEmpty() ? 0 : prompt.sharedPrefixHash();
        EngineState engine = upstream.engine();
        this.uncachedTokens = engine.uncachedTokens(prompt, prefixHash, nowMs);
        this.prefixKnown = uncachedTokens == prompt.uniqueTokens()
                || prompt.sharedPrefixTokens() <= NEGLIGIBLE_PREFIX_RATIO * prompt.uniqueTokens();
    }

    /** Returns the prompt tokens that the engine has to prefill, as far as known. */
    int uncachedTokens() {
        return uncachedTokens;
    }

    void onSent(long nowMs) {
        sentMs = nowMs;
        if (!prompt.isEmpty()) {
            long earlierTokens = upstream.prefillTokens() - uncachedTokens;
            prefillTokens = estimator().recordSent(uncachedTokens, earlierTokens, nowMs);
            queued = upstream.estimatedRequests(nowMs) > upstream.entry().slots();
            estimator().recordTarget(pauseTargetMs, nowMs);
            upstream.engine().recordPrefix(prefixHash, nowMs);
        }
    }

    void onEvents(long nowMs) {
        if (prompt.isEmpty()) {
            return;
        }
        if (events == 0) {
            estimator().service().firstEventTimeout().record(nowMs - sentMs);
            // A prefix that others have sent may be cached or not: the sample would be of an unknown length.
            if (prefixKnown) {
                estimator().recordFirstEvent(prefillTokens, nowMs - sentMs, queued, nowMs);
            }
        } else if (!interrupted) {
            long pauseMs = nowMs - lastEventMs;
            longestPauseMs = Math.max(longestPauseMs, pauseMs);
            seriesMs += pauseMs;
            seriesEvents++;
        }
        interrupted = false;
        lastEventMs = nowMs;
        events++;
        if (seriesEvents >= SERIES_EVENTS) {
            recordSeries(nowMs);
        }
    }

    /** Records that the engine counts as unresponsive because it has sent nothing. */
    void onUnresponsive(long nowMs) {
        if (!prompt.isEmpty() && events == 0 && !unresponsive) {
            unresponsive = true;
            estimator().service().firstEventTimeout().record(nowMs - sentMs);
        }
    }

    void onReadingChanged() {
        interrupted = true;
    }

    /** Records the end of a complete response. */
    void onEnd(long nowMs) {
        upstream.recordDuration(nowMs - sentMs);
        if (!prompt.isEmpty() && events > 0) {
            if (seriesEvents >= MIN_SERIES_EVENTS) {
                recordSeries(nowMs);
            }
            estimator().recordEnd(nowMs - sentMs, prompt.uniqueTokens() + events);
        }
    }

    private void recordSeries(long nowMs) {
        double eventMs = (seriesMs - longestPauseMs) / (double) (seriesEvents - 1);
        estimator().recordEvents(upstream.estimatedRequests(nowMs), eventMs, longestPauseMs, nowMs);
        longestPauseMs = 0;
        seriesMs = 0;
        seriesEvents = 0;
    }

    private EngineEstimator estimator() {
        return upstream.engine().estimator();
    }
}
