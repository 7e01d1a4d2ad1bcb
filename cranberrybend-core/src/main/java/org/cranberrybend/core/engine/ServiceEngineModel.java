package org.cranberrybend.core.engine;

/**
 * What the engines of one service have in common, learned from all of them: an instance of a large fleet sees a single
 * engine only every few seconds. Each engine deviates by a speed factor ({@link EngineEstimator}). Confined to one
 * thread; memory does not grow with the number of samples.
 *
 * <p>Before the first samples, steps and prefill are taken to be slower than on any known engine, and a prompt is taken
 * to be prefilled in one piece.
 */
public final class ServiceEngineModel {
    /** Time to the first event of an empty prompt before the first samples; includes the network. */
    private static final double INITIAL_FIRST_EVENT_MS = 20;
    /** Prefill speeds of known engines are 64 to 112 tokens per ms; slower ones are assumed until measured. */
    private static final double MAX_PREFILL_MS_PER_TOKEN = 1 / 20.0;

    private static final double INITIAL_PREFILL_MS_PER_TOKEN = 1 / 40.0;
    private static final double MIN_PREFILL_MS_PER_TOKEN = 1 / 1_000.0;
    /** Difference in length that prefill time resolves at a clock of 1 ms and network delays of a few ms. */
    private static final double MIN_PROMPT_DIFFERENCE_TOKENS = 600;

    private static final double INITIAL_STEP_MS = 8;
    private static final double MAX_STEP_MS_PER_REQUEST = 0.25;
    private static final double MIN_REQUEST_DIFFERENCE = 3;
    private static final double INITIAL_DURATION_MS = 2_000;
    private static final double INITIAL_REQUEST_TOKENS = 2_000;
    /** Logarithm of the pause target in ms before any stream was sent: tight, so that long prompts keep away. */
    private static final double INITIAL_LOG_PAUSE_TARGET = Math.log(200);

    private static final double SMOOTHING = 0.05;
    /** Time over which the length of the longest prompt is forgotten. */
    private static final double LONGEST_PROMPT_DECAY_MS = 60_000;
    /** Ratio to the longest prompt seen up to which a prompt causes no longer pauses than seen. */
    private static final double SEEN_LENGTH_TOLERANCE = 1.5;
    /** Time over which the pauses of a service are forgotten if there are no streams. */
    private static final double PAUSE_DECAY_MS = 30_000;

    private final RobustLine firstEvent = new RobustLine(
            INITIAL_FIRST_EVENT_MS, MIN_PROMPT_DIFFERENCE_TOKENS, MIN_PREFILL_MS_PER_TOKEN, MAX_PREFILL_MS_PER_TOKEN);
    private final RobustLine step = new RobustLine(INITIAL_STEP_MS, MIN_REQUEST_DIFFERENCE, 0, MAX_STEP_MS_PER_REQUEST);
    /** Longest pauses of streams, near their upper end: rises by far more than it falls. */
    private final SmoothedLevel highPauseMs = new SmoothedLevel(0.4, 0.02, PAUSE_DECAY_MS);
    /** Longest pauses of streams, near their middle. */
    private final SmoothedLevel typicalPauseMs = new SmoothedLevel(SMOOTHING, SMOOTHING, PAUSE_DECAY_MS);

    private final SmoothedLevel longestPromptTokens = new SmoothedLevel(1, 0, LONGEST_PROMPT_DECAY_MS);
    private final SmoothedLevel meanRequests = new SmoothedLevel(SMOOTHING, SMOOTHING, PAUSE_DECAY_MS);
    private final PrefixMemory prefixes = new PrefixMemory();
    private final FirstEventTimeout firstEventTimeout = new FirstEventTimeout();
    private final SmoothedLevel logPauseTarget = new SmoothedLevel(SMOOTHING, SMOOTHING, PAUSE_DECAY_MS);
    private double durationMs = INITIAL_DURATION_MS;
    private double requestTokens = INITIAL_REQUEST_TOKENS;
    private double logFactor;
    private EngineCapacity capacity = new EngineCapacity(1, 0);
    private boolean capacityKnown;

    /** Sets the capacity of each engine by the configuration. */
    public void setCapacity(EngineCapacity next) {
        capacity = next;
        capacityKnown = true;
    }

    /** Returns the prefixes that were sent to the engines of the service. */
    public PrefixMemory prefixes() {
        return prefixes;
    }

    /** Returns the timeout of the first events of all engines of the service. */
    public FirstEventTimeout firstEventTimeout() {
        return firstEventTimeout;
    }

    /** Records the time to a first event, at the usual speed of the engine. */
    void recordFirstEvent(double prefillTokens, double firstEventMs, long nowMs) {
        firstEvent.add(prefillTokens, firstEventMs);
        longestPromptTokens.add(prefillTokens, 0, nowMs);
    }

    /** Records the events of a stream, at the usual speed of the engine. */
    void recordEvents(double requests, double eventMs, double longestPauseMs, long nowMs) {
        step.add(requests, eventMs);
        highPauseMs.add(longestPauseMs, longestPauseMs, nowMs);
        typicalPauseMs.add(longestPauseMs, longestPauseMs, nowMs);
        meanRequests.add(requests, requests, nowMs);
    }

    void recordEnd(double streamMs, long tokens) {
        durationMs += SMOOTHING * (streamMs - durationMs);
        requestTokens += SMOOTHING * (tokens - requestTokens);
    }

    void recordPauseTarget(double logTarget, long nowMs) {
        logPauseTarget.add(logTarget, logTarget, nowMs);
    }

    double logPauseTarget(long nowMs) {
        return logPauseTarget.at(INITIAL_LOG_PAUSE_TARGET, nowMs);
    }

    void recordFactor(double factor) {
        logFactor += SMOOTHING * (Math.log(factor) - logFactor);
    }

    /** Returns the speed factor of an engine of which nothing is known. */
    double usualFactor() {
        return Math.exp(logFactor);
    }

    /** Returns whether both lines follow from samples; before that, placement uses earlier rules. */
    public boolean isLearned() {
        return firstEvent.isFitted() && step.isFitted();
    }

    /** Returns the number of requests that an engine executes at once, limited by its slots and its cache. */
    double concurrentRequests(int slots) {
        int configured = capacityKnown ? Math.min(slots, capacity.slots()) : slots;
        return capacity.kvCacheTokens() == 0
                ? Math.max(1, configured)
                : Math.max(1, Math.min(configured, capacity.kvCacheTokens() / Math.max(1, requestTokens)));
    }

    double firstEventMs(double prefillTokens) {
        return firstEvent.isFitted()
                ? firstEvent.at(prefillTokens)
                : INITIAL_FIRST_EVENT_MS + prefillTokens * INITIAL_PREFILL_MS_PER_TOKEN;
    }

    double stepMs(double requests) {
        return step.at(requests);
    }

    double typicalPauseMs(long nowMs) {
        return typicalPauseMs.at(0, nowMs);
    }

    double meanRequests(long nowMs) {
        return meanRequests.at(0, nowMs);
    }

    double durationMs() {
        return durationMs;
    }

    /**
     * Returns the pause that a prefill causes in other streams. Pauses longer than the high level have not been seen,
     * since prompts are prefilled in chunks; this is known only up to the length of the longest prompt seen.
     */
    double prefillPauseMs(double prefillTokens, long nowMs) {
        double wholeMs = prefillTokens * prefillMsPerToken();
        boolean lengthSeen = isLearned() && prefillTokens <= SEEN_LENGTH_TOLERANCE * longestPromptTokens.at(0, nowMs);
        return lengthSeen ? Math.min(wholeMs, Math.max(highPauseMs.at(wholeMs, nowMs), stepMs(1))) : wholeMs;
    }

    /** Returns the time that the prefill of a token takes at the usual speed. */
    public double prefillMsPerToken() {
        return firstEvent.isFitted() ? firstEvent.slope() : INITIAL_PREFILL_MS_PER_TOKEN;
    }
}
