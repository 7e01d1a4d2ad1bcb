package org.cranberrybend.core.engine;

/**
 * Estimates how an engine serves a request, from the model of its service and the observed deviation of this engine.
 * Confined to one thread.
 *
 * <p>The speed factor follows events and first events by steps of limited size, so that single outliers have little
 * effect. The slowdown that a shared machine reports changes many times a second: it holds at the time of its receipt,
 * and with its age the mean of the reports takes its place.
 */
public final class EngineEstimator {
    /** Time after which a report of the slowdown has lost 63 % of its weight. */
    private static final double SLOWDOWN_DECAY_MS = 150;
    /** Time after which the mean of the slowdown reports returns to the normal speed. */
    private static final double MEAN_SLOWDOWN_DECAY_MS = 30_000;

    /**
     * Weight of the pauses of this engine against those of its service. The longest pauses of a few streams are mostly
     * chance, and placement by them would move prompts away from the engine that has cached their prefix.
     */
    private static final double OWN_PAUSE_WEIGHT = 0.5;

    private static final double SMOOTHING = 0.1;
    /** Largest ratio by which one sample may differ from the expectation. */
    private static final double MAX_SAMPLE_RATIO = 1.6;
    /** Part of the (logarithmic) difference that one sample moves the speed factor. */
    private static final double FACTOR_STEP = 0.2;
    /** Weight of a first event, which is subject to queueing and network delays. */
    private static final double FIRST_EVENT_WEIGHT = 0.25;

    private static final double MIN_FACTOR = 0.2;
    private static final double MAX_FACTOR = 10;
    /** Time after which a speed that was not observed again counts for little. */
    private static final double FACTOR_DECAY_MS = 30_000;
    /** Time after which the pauses of an engine say little: the prompts that caused them are complete. */
    private static final double PAUSE_DECAY_MS = 4_000;

    /** Time after which the targets of earlier streams say little about those in progress. */
    private static final double TARGET_DECAY_MS = 5_000;
    /** Target of streams that have none. */
    private static final double NO_PAUSE_TARGET_MS = 60_000;

    private final ServiceEngineModel service;
    private final SmoothedLevel pause = new SmoothedLevel(0.4, 0.1, PAUSE_DECAY_MS);
    private final SmoothedLevel meanSlowdown = new SmoothedLevel(SMOOTHING, SMOOTHING, MEAN_SLOWDOWN_DECAY_MS);
    private final SmoothedLevel logFactor = new SmoothedLevel(1, 1, FACTOR_DECAY_MS);
    /** Logarithm of the pause targets of the streams that this instance has sent lately. */
    private final SmoothedLevel logPauseTarget = new SmoothedLevel(SMOOTHING, SMOOTHING, TARGET_DECAY_MS);

    private double slowdown = 1;
    private long slowdownAtMs = Long.MIN_VALUE / 2;
    /** Expected end of the prefill of all prompts that this instance has sent. */
    private double prefillEndMs;

    /** Creates the estimator of one engine of a service. */
    public EngineEstimator(ServiceEngineModel service) {
        this.service = service;
    }

    /** Returns the model of the engine's service. */
    public ServiceEngineModel service() {
        return service;
    }

    /** Records how long work takes on the engine's machine, as a ratio of the normal time. */
    public void recordSlowdown(double ratio, long nowMs) {
        if (ratio > 0 && Double.isFinite(ratio)) {
            slowdown = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, ratio));
            slowdownAtMs = nowMs;
            meanSlowdown.add(slowdown, 1, nowMs);
        }
    }

    /**
     * Records that a request is sent; returns the tokens to be prefilled until its first event: its own and those of
     * earlier requests of this instance.
     *
     * @param uncachedTokens prompt tokens that the engine has to prefill
     * @param ownPrefillTokens tokens of earlier requests of this instance whose first event was not received
     */
    public double recordSent(double uncachedTokens, long ownPrefillTokens, long nowMs) {
        double tokens = uncachedTokens + remainingPrefillTokens(ownPrefillTokens, nowMs);
        prefillEndMs = nowMs + tokens * prefillMsPerToken(nowMs);
        return tokens;
    }

    /** Records the target for the longest pause of a request that is sent; 0 if it has none. */
    public void recordTarget(double pauseTargetMs, long nowMs) {
        double logTarget = Math.log(pauseTargetMs > 0 ? pauseTargetMs : NO_PAUSE_TARGET_MS);
        logPauseTarget.add(logTarget, service.logPauseTarget(nowMs), nowMs);
        service.recordPauseTarget(logTarget, nowMs);
    }

    /** Returns the expected target for the longest pause of the streams at the engine. */
    public double pauseTargetMs(long nowMs) {
        return Math.exp(logPauseTarget.at(service.logPauseTarget(nowMs), nowMs));
    }

    /** Returns the part of the tokens of this instance whose prefill is not expected to be complete yet. */
    private double remainingPrefillTokens(long ownPrefillTokens, long nowMs) {
        double remaining = Math.max(0, prefillEndMs - nowMs) / prefillMsPerToken(nowMs);
        return Math.min(ownPrefillTokens, remaining);
    }

    /** Returns the time that the prefill of a token takes at this engine. */
    public double prefillMsPerToken(long nowMs) {
        return service.prefillMsPerToken() * speedFactor(nowMs) * meanSlowdown.at(1, nowMs);
    }

    /**
     * Records the first event of a stream.
     *
     * @param prefillTokens tokens that had to be prefilled, as returned when the request was sent
     * @param elapsedMs time since the request was sent
     * @param queued whether the engine had no free slot; the wait says nothing about its speed then
     */
    public void recordFirstEvent(double prefillTokens, double elapsedMs, boolean queued, long nowMs) {
        if (queued) {
            return;
        }
        double normalMs = elapsedMs / machineSlowdown(nowMs);
        moveFactor(normalMs / service.firstEventMs(prefillTokens), FIRST_EVENT_WEIGHT, nowMs);
        service.recordFirstEvent(prefillTokens, normalMs / speedFactor(nowMs), nowMs);
    }

    /**
     * Records a series of events of a stream.
     *
     * @param requests requests at the engine, as far as known
     * @param eventMs mean time between two events, the longest pause left out
     * @param longestPauseMs longest pause between two events
     */
    public void recordEvents(double requests, double eventMs, double longestPauseMs, long nowMs) {
        double normalMs = eventMs / meanSlowdown.at(1, nowMs);
        moveFactor(normalMs / service.stepMs(requests), 1, nowMs);
        double factor = speedFactor(nowMs);
        pause.add(longestPauseMs, usualPauseMs(nowMs), nowMs);
        service.recordEvents(requests, normalMs / factor, longestPauseMs / factor, nowMs);
    }

    /** Records the end of a complete stream and the tokens that it occupied in the cache of the engine. */
    public void recordEnd(double streamMs, long tokens) {
        service.recordEnd(streamMs, tokens);
    }

    private void moveFactor(double ratio, double weight, long nowMs) {
        double current = speedFactor(nowMs);
        if (!service.isLearned()) {
            return;
        }
        double limited = Math.max(1 / MAX_SAMPLE_RATIO, Math.min(MAX_SAMPLE_RATIO, ratio / current));
        double moved = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, current * Math.pow(limited, FACTOR_STEP * weight)));
        logFactor.add(Math.log(moved), Math.log(service.usualFactor()), nowMs);
        service.recordFactor(moved);
    }

    private double speedFactor(long nowMs) {
        return Math.exp(logFactor.at(Math.log(service.usualFactor()), nowMs));
    }

    /** Returns how long work takes at the engine, as a ratio of the time at the usual engine of the service. */
    public double slowdown(long nowMs) {
        return speedFactor(nowMs) * machineSlowdown(nowMs);
    }

    private double machineSlowdown(long nowMs) {
        double mean = meanSlowdown.at(1, nowMs);
        double weight = Math.exp(-Math.max(0, nowMs - slowdownAtMs) / SLOWDOWN_DECAY_MS);
        return mean + weight * (slowdown - mean);
    }

    private double usualPauseMs(long nowMs) {
        return service.typicalPauseMs(nowMs) * service.usualFactor();
    }

    /**
     * Returns the expected number of requests at the engine. With its age, the mean of the service takes the place of a
     * report, over the time that a request takes.
     */
    private double expectedRequests(EngineLoad load, long nowMs) {
        double mean = service.meanRequests(nowMs);
        if (load.ageMs() == EngineLoad.NO_REPORT) {
            return Math.max(load.ownRequests(), mean);
        }
        double weight = Math.exp(-load.ageMs() / Math.max(1, service.durationMs()));
        return Math.max(load.ownRequests(), mean + weight * (load.requests() - mean));
    }

    /**
     * Returns the expected effect of sending a request.
     *
     * @param uncachedTokens prompt tokens that the engine has to prefill
     * @param slots requests that the engine executes at the same time, by its entry
     */
    public LatencyEstimate estimate(double uncachedTokens, EngineLoad load, int slots, long nowMs) {
        double factor = slowdown(nowMs);
        double requests = expectedRequests(load, nowMs);
        double capacity = service.concurrentRequests(slots);
        double excess = requests + 1 - capacity;
        double pendingTokens = remainingPrefillTokens(load.ownPrefillTokens(), nowMs);
        double queueMs = excess <= 0 ? 0 : excess * service.durationMs() / capacity;
        double firstEventMs = queueMs + factor * service.firstEventMs(uncachedTokens + pendingTokens);
        double running = Math.min(requests + 1, capacity);
        double knownPauseMs = service.stepMs(running) + service.prefillPauseMs(pendingTokens, nowMs);
        double usualPauseMs = usualPauseMs(nowMs);
        double expectedPauseMs = usualPauseMs + OWN_PAUSE_WEIGHT * (pause.at(usualPauseMs, nowMs) - usualPauseMs);
        double longestPauseMs = Math.max(expectedPauseMs, factor * knownPauseMs);
        return new LatencyEstimate(
                firstEventMs, longestPauseMs, factor * service.prefillPauseMs(uncachedTokens, nowMs));
    }
}
