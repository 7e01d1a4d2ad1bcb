package org.cranberrybend.core.routing;

/**
 * State of one upstream as tracked by the shard owner: in-flight requests, adaptive concurrency limit, measured speed
 * and circuit breaker.
 *
 * <p>In-flight requests are counted from the owner's grants and releases and never taken from the upstream's own
 * report, which lags behind. The concurrency limit follows an additive-increase, multiplicative-decrease (AIMD) rule.
 * It decreases when the time per token exceeds the class's target or a multiple of the best time measured on this
 * upstream. Each good response increases it by the reciprocal of the limit, but only while the requests in flight
 * nearly reach the limit. Repeated failures open the circuit. After the open interval one probe request is let through,
 * and its success begins a slow start.
 *
 * <p>Edge cases: a speed that was never measured is NaN. The limit is never above the listed slots and never below one.
 * The number of in-flight requests may exceed a limit that has just decreased. Not thread-safe.
 */
public final class UpstreamLoad {
    private static final double SMOOTHING_RATIO = 0.2;
    // Continuous batching increases the time per token up to about twofold at a full batch.
    // Beyond that the engine is overloaded.
    private static final double LATENCY_TOLERANCE_RATIO = 2.5;
    // Raises the best latency by half within about 400 responses, so that it adapts to a lasting slowdown.
    private static final double BEST_LATENCY_DRIFT_RATIO = 1.001;
    private static final double LIMIT_DECREASE_RATIO = 0.9;
    private static final int FAILURE_THRESHOLD = 3;
    private static final long INITIAL_OPEN_MS = 1_000;
    private static final long MAX_OPEN_MS = 30_000;
    private static final long SLOW_START_MS = 10_000;
    private static final long SLOW_START_STEP_MS = 250;
    private static final double FAILURE_PENALTY_MS = 500;
    // Fixed cost of a request in prompt tokens, so that the predicted prefill time of an empty prompt is not 0.
    private static final int OVERHEAD_TOKENS = 32;

    private Upstream upstream;
    /** Number of slots on this upstream that the owner granted and that were not released or reclaimed. */
    private int inFlight;
    /** Adaptive concurrency limit, between 1 and the listed slots. */
    private double limitSlots;
    /** Lowest recent time per token, or per call of a plain service, in milliseconds; NaN until measured. */
    private double bestLatencyMs = Double.NaN;

    private double decodeMsPerToken = Double.NaN;
    private double prefillMsPerToken = Double.NaN;
    private double callMs = Double.NaN;
    /** When the prefill of all prompts granted so far is predicted to end, in milliseconds. */
    private double prefillFreeAtMs;

    private int consecutiveFailures;
    private boolean circuitOpen;
    private boolean probing;
    private long openUntilMs;
    private long openDurationMs = INITIAL_OPEN_MS;
    /** Start of the last slow start in milliseconds, or -1 if there was none. */
    private long slowStartMs = -1;

    private long lastDecreaseMs = Long.MIN_VALUE / 2;
    private boolean leaving;

    /** Creates the state of an upstream on which the given number of granted slots is still in use. */
    public UpstreamLoad(Upstream upstream, int inFlight) {
        this.upstream = upstream;
        this.inFlight = inFlight;
        this.limitSlots = upstream.capacitySlots();
        this.leaving = upstream.leaving();
    }

    /**
     * Updates the upstream from the instance list. An upstream that is known to be leaving stays so, because the list
     * may lag behind the upstream's own rejections.
     */
    public void updateUpstream(Upstream newer) {
        upstream = newer;
        limitSlots = Math.min(limitSlots, newer.capacitySlots());
        leaving |= newer.leaving();
    }

    /** Returns the upstream as last listed. */
    public Upstream upstream() {
        return upstream;
    }

    /** Returns the number of in-flight requests. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns whether the upstream must receive no new requests. */
    public boolean isLeaving() {
        return leaving;
    }

    /** Records that the upstream rejected a request because it is leaving. */
    public void markLeaving() {
        leaving = true;
    }

    /** Returns whether the circuit breaker is open, so that at most one probe request is let through. */
    public boolean isCircuitOpen() {
        return circuitOpen;
    }

    /**
     * Returns when the limit next increases with time alone, in milliseconds: the next probe of an open circuit or the
     * next step of a slow start; 0 if there is neither.
     */
    public long nextLimitIncreaseMs(long nowMs) {
        if (circuitOpen) {
            return openUntilMs;
        }
        boolean slowStart = slowStartMs >= 0 && nowMs - slowStartMs < SLOW_START_MS;
        return slowStart ? nowMs + SLOW_START_STEP_MS : 0;
    }

    /** Returns how many requests may be in flight now. */
    public int limit(long nowMs) {
        if (leaving || (circuitOpen && nowMs < openUntilMs)) {
            return 0;
        }
        if (circuitOpen) {
            return probing ? 0 : inFlight + 1;
        }
        double allowed = limitSlots;
        if (slowStartMs >= 0) {
            double progress = Math.min(1, (nowMs - slowStartMs) / (double) SLOW_START_MS);
            allowed = 1 + (limitSlots - 1) * progress;
        }
        return (int) Math.max(1, Math.floor(allowed));
    }

    /** Returns the number of requests that may be sent now. */
    public int freeSlots(long nowMs) {
        return Math.max(0, limit(nowMs) - inFlight);
    }

    /** Returns the slots that predictions may count on: the limit, or 0 while the circuit is open. */
    public int effectiveSlots(long nowMs) {
        return circuitOpen ? 0 : limit(nowMs);
    }

    /** Returns the predicted time to first token of a prompt sent now, in milliseconds; NaN until measured. */
    public double firstTokenMs(long promptTokens, long nowMs) {
        return Math.max(0, prefillFreeAtMs - nowMs) + prefillMs(promptTokens);
    }

    private double prefillMs(long promptTokens) {
        return Double.isNaN(callMs) ? (promptTokens + OVERHEAD_TOKENS) * prefillMsPerToken : callMs;
    }

    /** Returns the predicted time that a request holds a slot, in milliseconds; NaN until measured. */
    public double serviceMs(long promptTokens, long outputTokens) {
        if (!Double.isNaN(callMs)) {
            return callMs;
        }
        return prefillMs(promptTokens) + outputTokens * decodeMsPerToken;
    }

    /**
     * Returns the cost in milliseconds by which upstreams are compared. The cost of an unmeasured upstream is close to
     * 0, so that it receives requests and is measured.
     */
    public double cost(long promptTokens, long outputTokens, long nowMs) {
        double fill = (inFlight + 1) / (double) Math.max(1, limit(nowMs));
        double predictedMs = firstTokenMs(promptTokens, nowMs) + outputTokens * decodeMsPerToken * (0.5 + 0.5 * fill);
        if (!Double.isNaN(callMs)) {
            predictedMs = callMs * fill;
        }
        return (Double.isNaN(predictedMs) ? fill : predictedMs) + consecutiveFailures * FAILURE_PENALTY_MS;
    }

    /** Records a granted slot and the prefill that it adds. */
    public void acquireSlot(long promptTokens, long nowMs) {
        inFlight++;
        probing |= circuitOpen;
        double prefillMs = prefillMs(promptTokens);
        if (!Double.isNaN(prefillMs) && Double.isNaN(callMs)) {
            prefillFreeAtMs = Math.max(prefillFreeAtMs, nowMs) + prefillMs;
        }
    }

    /** Records that a slot was released or reclaimed. Success or failure of its request is recorded separately. */
    public void releaseSlot() {
        if (inFlight == 0) {
            throw new IllegalStateException("no slot of upstream " + upstream.id() + " is in use");
        }
        inFlight--;
        probing = false;
    }

    /** Records the failure of a request, which decreases the limit and may open the circuit. */
    public void recordFailure(long nowMs) {
        if (circuitOpen && nowMs < openUntilMs) {
            return;
        }
        consecutiveFailures++;
        limitSlots = Math.max(1, limitSlots * LIMIT_DECREASE_RATIO);
        boolean recovering = slowStartMs >= 0 && nowMs - slowStartMs < SLOW_START_MS;
        if (circuitOpen || recovering || consecutiveFailures >= FAILURE_THRESHOLD) {
            openDurationMs = circuitOpen || recovering ? Math.min(MAX_OPEN_MS, openDurationMs * 2) : INITIAL_OPEN_MS;
            circuitOpen = true;
            openUntilMs = nowMs + openDurationMs;
        }
    }

    /**
     * Records a complete response.
     *
     * @param promptTokens prompt tokens processed
     * @param outputTokens output tokens received; 0 for a plain service
     * @param firstTokenMs time to first token in milliseconds, or -1 if there was none
     * @param totalMs time to the end of the response in milliseconds
     * @param predictedFirstTokenMs time to first token predicted when the slot was granted, in milliseconds, or NaN
     * @param tokenTargetMs target of the request's class for the time between two tokens, in milliseconds
     * @param nowMs current time in milliseconds
     */
    public void recordSuccess(
            long promptTokens,
            long outputTokens,
            long firstTokenMs,
            long totalMs,
            double predictedFirstTokenMs,
            double tokenTargetMs,
            long nowMs) {
        consecutiveFailures = 0;
        if (circuitOpen) {
            circuitOpen = false;
            slowStartMs = nowMs;
        }
        if (firstTokenMs >= 0 && outputTokens > 0) {
            updatePrefillSpeed(promptTokens, firstTokenMs, predictedFirstTokenMs);
        }
        if (outputTokens >= 2 && firstTokenMs >= 0) {
            double sampleMs = (totalMs - firstTokenMs) / (double) (outputTokens - 1);
            decodeMsPerToken = smooth(decodeMsPerToken, sampleMs);
            adaptLimit(sampleMs, tokenTargetMs, totalMs, nowMs);
        } else if (outputTokens == 0) {
            callMs = smooth(callMs, totalMs);
            // The duration of a call depends on its content, so the limit follows the smoothed value.
            adaptLimit(callMs, Double.POSITIVE_INFINITY, totalMs, nowMs);
        }
    }

    private void updatePrefillSpeed(long promptTokens, long firstTokenMs, double predictedMs) {
        if (Double.isNaN(prefillMsPerToken) || Double.isNaN(predictedMs) || predictedMs <= 0) {
            prefillMsPerToken =
                    smooth(prefillMsPerToken, Math.max(1, firstTokenMs) / (double) (promptTokens + OVERHEAD_TOKENS));
        } else {
            double correction = Math.min(2, Math.max(0.5, Math.max(1, firstTokenMs) / predictedMs));
            prefillMsPerToken *= 1 + SMOOTHING_RATIO * (correction - 1);
        }
    }

    private void adaptLimit(double sampleMs, double targetMs, long totalMs, long nowMs) {
        bestLatencyMs =
                Double.isNaN(bestLatencyMs) ? sampleMs : Math.min(bestLatencyMs * BEST_LATENCY_DRIFT_RATIO, sampleMs);
        if (sampleMs > bestLatencyMs * LATENCY_TOLERANCE_RATIO || sampleMs > targetMs) {
            // At most one decrease per request duration, because several responses are affected by the same overload.
            if (nowMs - lastDecreaseMs >= totalMs) {
                limitSlots = Math.max(1, limitSlots * LIMIT_DECREASE_RATIO);
                lastDecreaseMs = nowMs;
            }
        } else if (inFlight + 2 >= limitSlots) {
            limitSlots = Math.min(upstream.capacitySlots(), limitSlots + 1 / limitSlots);
        }
    }

    private static double smooth(double oldValue, double sample) {
        return Double.isNaN(oldValue) ? sample : oldValue + SMOOTHING_RATIO * (sample - oldValue);
    }
}
