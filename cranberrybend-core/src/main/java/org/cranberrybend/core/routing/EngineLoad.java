package org.cranberrybend.core.routing;

/**
 * What the owner of a shard knows about one upstream: exact requests in flight, measured speed and health.
 *
 * <p>The count in flight comes from grants and releases of the owner, never from the upstream's own report, which lags.
 * The concurrency limit falls when tokens take longer than the class's target or than a multiple of the best time
 * measured on this upstream, and rises by one slot per full round of good answers while the limit is in use. Repeated
 * failures open the circuit; after a pause one probe is let through, and its success starts a slow start.
 *
 * <p>Edge cases: a speed that was never measured is NaN; the limit never exceeds the announced slots and never falls
 * below one; the count in flight may exceed a limit that has just fallen. Not safe for use by several threads.
 */
public final class EngineLoad {
    private static final double SMOOTHING_RATIO = 0.2;
    // Continuous batching slows each token by up to about 2 times at a full batch; beyond that the engine is
    // overloaded.
    private static final double LATENCY_TOLERANCE_RATIO = 2.5;
    // Lets the best time rise by a half in about 400 answers, so that a lasting change of speed is accepted.
    private static final double BEST_DRIFT_RATIO = 1.001;
    private static final double LIMIT_DECREASE_RATIO = 0.9;
    private static final int FAILURES_TO_OPEN = 3;
    private static final long OPEN_MS = 1_000;
    private static final long OPEN_MAX_MS = 30_000;
    private static final long SLOW_START_MS = 10_000;
    private static final long SLOW_START_STEP_MS = 250;
    private static final double FAILURE_PENALTY_MS = 500;
    // Stands for the fixed cost of a request, so that an empty prompt is not predicted to be free.
    private static final int OVERHEAD_TOKENS = 32;

    private Upstream upstream;
    /** At least 0; equals the slots that the owner granted on this upstream and that were not released. */
    private int inFlight;
    /** Between 1 and the announced slots. */
    private double limitSlots;
    /** Best time per token (or per call of a plain service) in milliseconds; NaN until measured. */
    private double bestMs = Double.NaN;

    private double decodeMsPerToken = Double.NaN;
    private double prefillMsPerToken = Double.NaN;
    private double callMs = Double.NaN;
    /** When the prompts granted so far are predicted to be processed. */
    private double prefillFreeAtMs;

    private int consecutiveFailures;
    private boolean circuitOpen;
    private boolean probing;
    private long openUntilMs;
    private long openForMs = OPEN_MS;
    /** Start of the current slow start, or -1. */
    private long slowStartMs = -1;

    private long lastDecreaseMs = Long.MIN_VALUE / 2;
    private boolean leaving;

    /** Creates the load of an upstream on which the given number of granted slots is still in use. */
    public EngineLoad(Upstream upstream, int inFlight) {
        this.upstream = upstream;
        this.inFlight = inFlight;
        this.limitSlots = upstream.capacitySlots();
        this.leaving = upstream.leaving();
    }

    /** Takes over a newer announcement. An upstream once known to be leaving stays so: the list lags behind refusals. */
    public void announce(Upstream newer) {
        upstream = newer;
        limitSlots = Math.min(limitSlots, newer.capacitySlots());
        leaving |= newer.leaving();
    }

    /** Returns the latest announcement. */
    public Upstream upstream() {
        return upstream;
    }

    /** Returns the requests granted and not released. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns whether the upstream must receive no new requests. */
    public boolean isLeaving() {
        return leaving;
    }

    /** Records that the upstream said that it is leaving. */
    public void markLeaving() {
        leaving = true;
    }

    /** Returns whether the circuit breaker holds back requests, apart from a probe. */
    public boolean isCircuitOpen() {
        return circuitOpen;
    }

    /** Returns when the limit rises without a release: the next probe or step of a slow start; 0 if it does not. */
    public long nextChangeMs(long nowMs) {
        if (circuitOpen) {
            return openUntilMs;
        }
        boolean slowStart = slowStartMs >= 0 && nowMs - slowStartMs < SLOW_START_MS;
        return slowStart ? nowMs + SLOW_START_STEP_MS : 0;
    }

    /** Returns how many requests may be in flight at present. */
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

    /** Returns the free slots at present. */
    public int freeSlots(long nowMs) {
        return Math.max(0, limit(nowMs) - inFlight);
    }

    /** Returns the slots that the forecast may count on, which leaves out upstreams with an open circuit. */
    public int countedSlots(long nowMs) {
        return circuitOpen ? 0 : limit(nowMs);
    }

    /** Returns the predicted time to the first token of a prompt sent now, in milliseconds; NaN until measured. */
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

    /** Returns the cost in milliseconds by which upstreams are compared; an unmeasured one costs nothing, to be tried. */
    public double cost(long promptTokens, long outputTokens, long nowMs) {
        double fill = (inFlight + 1) / (double) Math.max(1, limit(nowMs));
        double predictedMs = firstTokenMs(promptTokens, nowMs) + outputTokens * decodeMsPerToken * (0.5 + 0.5 * fill);
        if (!Double.isNaN(callMs)) {
            predictedMs = callMs * fill;
        }
        return (Double.isNaN(predictedMs) ? fill : predictedMs) + consecutiveFailures * FAILURE_PENALTY_MS;
    }

    /** Counts a granted slot. */
    public void occupy(long promptTokens, long nowMs) {
        inFlight++;
        probing |= circuitOpen;
        double prefillMs = prefillMs(promptTokens);
        if (!Double.isNaN(prefillMs) && Double.isNaN(callMs)) {
            prefillFreeAtMs = Math.max(prefillFreeAtMs, nowMs) + prefillMs;
        }
    }

    /** Counts a released slot whose request neither failed nor succeeded. */
    public void vacate() {
        if (inFlight == 0) {
            throw new IllegalStateException("no slot of upstream " + upstream.id() + " is in use");
        }
        inFlight--;
        probing = false;
    }

    /** Records a failure of a request whose slot was released, which may open the circuit. */
    public void recordFailure(long nowMs) {
        if (circuitOpen && nowMs < openUntilMs) {
            return;
        }
        consecutiveFailures++;
        limitSlots = Math.max(1, limitSlots * LIMIT_DECREASE_RATIO);
        boolean recovering = slowStartMs >= 0 && nowMs - slowStartMs < SLOW_START_MS;
        if (circuitOpen || recovering || consecutiveFailures >= FAILURES_TO_OPEN) {
            openForMs = circuitOpen || recovering ? Math.min(OPEN_MAX_MS, openForMs * 2) : OPEN_MS;
            circuitOpen = true;
            openUntilMs = nowMs + openForMs;
        }
    }

    /**
     * Records a complete answer.
     *
     * @param promptTokens prompt tokens processed
     * @param outputTokens output tokens received; 0 for a plain service
     * @param firstTokenMs time to the first token in milliseconds, or -1
     * @param totalMs time to the end in milliseconds
     * @param predictedFirstTokenMs prediction made when the slot was granted, or NaN
     * @param tokenTargetMs target for the time between two tokens of the request's class
     * @param nowMs present time
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
            learnPrefill(promptTokens, firstTokenMs, predictedFirstTokenMs);
        }
        if (outputTokens >= 2 && firstTokenMs >= 0) {
            double sampleMs = (totalMs - firstTokenMs) / (double) (outputTokens - 1);
            decodeMsPerToken = smooth(decodeMsPerToken, sampleMs);
            adaptLimit(sampleMs, tokenTargetMs, totalMs, nowMs);
        } else if (outputTokens == 0) {
            callMs = smooth(callMs, totalMs);
            // Calls differ in length by their content, so single ones say nothing about the load of the service.
            adaptLimit(callMs, Double.POSITIVE_INFINITY, totalMs, nowMs);
        }
    }

    private void learnPrefill(long promptTokens, long firstTokenMs, double predictedMs) {
        if (Double.isNaN(prefillMsPerToken) || Double.isNaN(predictedMs) || predictedMs <= 0) {
            prefillMsPerToken =
                    smooth(prefillMsPerToken, Math.max(1, firstTokenMs) / (double) (promptTokens + OVERHEAD_TOKENS));
        } else {
            double correction = Math.min(2, Math.max(0.5, Math.max(1, firstTokenMs) / predictedMs));
            prefillMsPerToken *= 1 + SMOOTHING_RATIO * (correction - 1);
        }
    }

    private void adaptLimit(double sampleMs, double targetMs, long totalMs, long nowMs) {
        bestMs = Double.isNaN(bestMs) ? sampleMs : Math.min(bestMs * BEST_DRIFT_RATIO, sampleMs);
        if (sampleMs > bestMs * LATENCY_TOLERANCE_RATIO || sampleMs > targetMs) {
            // One decrease per request duration: answers of the same overload must not each lower the limit.
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
