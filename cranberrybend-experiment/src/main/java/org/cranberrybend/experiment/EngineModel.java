package org.cranberrybend.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;

/**
 * Model of an engine with continuous batching, or of a plain service.
 *
 * <p>Prefill is sequential; all requests after prefill are decoded in one batch, and each request in a slot slows the
 * others down. Requests beyond the slots wait in arrival order. A plain service executes each call for its duration.
 */
final class EngineModel {
    private static final double EPSILON = 1e-6;

    final String id;
    final EngineSpec spec;
    final long startedMs;
    private final Consumer<SimRequest> onFinished;
    private final List<SimRequest> active = new ArrayList<>();
    private final Deque<SimRequest> queued = new ArrayDeque<>();

    private double slowRatio = 1;
    private double lastMs;
    private boolean up = true;
    boolean leaving;
    boolean removed;
    /** Load as the policies see it: {@link #load} at the last report, once per second. */
    int reportedLoad;
    /** Incremented with each change, so that an outdated scheduled event can be recognized and ignored. */
    long version;

    EngineModel(String id, EngineSpec spec, long startedMs, Consumer<SimRequest> onFinished) {
        this.id = id;
        this.spec = spec;
        this.startedMs = startedMs;
        this.lastMs = startedMs;
        this.onFinished = onFinished;
    }

    Upstream toUpstream() {
        return new Upstream(
                id,
                spec.zone(),
                spec.region(),
                "127.0.0.1",
                9_000,
                spec.kind(),
                Set.of(spec.service()),
                spec.slots(),
                spec.market(),
                true,
                leaving);
    }

    boolean isUp() {
        return up;
    }

    int load() {
        return active.size() + queued.size();
    }

    void setSlowRatio(double ratio, long nowMs) {
        advance(nowMs);
        slowRatio = ratio;
        version++;
    }

    void start(SimRequest request, long nowMs) {
        advance(nowMs);
        request.engine = this;
        // To resume a response, the prompt and the tokens delivered so far must be prefilled again.
        request.remainingPrefillTokens = request.promptTokens + Math.floor(request.deliveredTokens);
        request.attemptFirstTokenMs = -1;
        queued.add(request);
        activateQueued();
    }

    /** Removes a request whose caller disconnected. */
    void cancel(SimRequest request, long nowMs) {
        advance(nowMs);
        active.remove(request);
        queued.remove(request);
        activateQueued();
    }

    /** Stops or restarts the engine; both drop all requests. Returns the dropped requests when it stops. */
    List<SimRequest> setUp(boolean newUp, long nowMs) {
        advance(nowMs);
        up = newUp;
        List<SimRequest> lost = new ArrayList<>(active);
        lost.addAll(queued);
        active.clear();
        queued.clear();
        version++;
        return newUp ? List.of() : lost;
    }

    private void activateQueued() {
        while (active.size() < spec.slots() && !queued.isEmpty()) {
            active.add(queued.remove());
        }
        version++;
    }

    private SimRequest requestInPrefill() {
        for (SimRequest request : active) {
            if (request.remainingPrefillTokens > EPSILON) {
                return request;
            }
        }
        return null;
    }

    private double decodeTokensPerMs() {
        if (spec.kind() == UpstreamKind.SERVICE) {
            return spec.speedRatio() * slowRatio;
        }
        double tokenMs = EngineSpec.TOKEN_MS * (1 + EngineSpec.BATCH_SLOWDOWN_RATIO * (active.size() - 1));
        return spec.speedRatio() * slowRatio / tokenMs;
    }

    private double prefillTokensPerMs() {
        return EngineSpec.PREFILL_TOKENS_PER_MS * spec.speedRatio() * slowRatio;
    }

    /** Returns when the next request finishes prefill or its response, or infinity if no request is active. */
    double nextEventMs() {
        double leastMs = Double.POSITIVE_INFINITY;
        SimRequest inPrefill = requestInPrefill();
        if (inPrefill != null) {
            leastMs = inPrefill.remainingPrefillTokens / prefillTokensPerMs();
        }
        double rate = decodeTokensPerMs();
        for (SimRequest request : active) {
            if (request.remainingPrefillTokens <= EPSILON) {
                leastMs = Math.min(leastMs, Math.max(0, request.outputTokens - request.deliveredTokens) / rate);
            }
        }
        return lastMs + leastMs;
    }

    /** Advances the simulated state to the given time. */
    void advance(double untilMs) {
        while (up && nextEventMs() <= untilMs) {
            step(nextEventMs());
        }
        if (untilMs > lastMs) {
            step(untilMs);
        }
    }

    private void step(double toMs) {
        double elapsedMs = toMs - lastMs;
        SimRequest inPrefill = requestInPrefill();
        double rate = decodeTokensPerMs();
        lastMs = toMs;
        for (SimRequest request : active) {
            if (request != inPrefill && request.remainingPrefillTokens <= EPSILON) {
                request.deliveredTokens = Math.min(request.outputTokens, request.deliveredTokens + rate * elapsedMs);
                countTokens(request, rate * elapsedMs);
            }
        }
        if (inPrefill != null) {
            double done = Math.min(inPrefill.remainingPrefillTokens, elapsedMs * prefillTokensPerMs());
            inPrefill.remainingPrefillTokens -= done;
            countTokens(inPrefill, done);
            if (inPrefill.remainingPrefillTokens <= EPSILON) {
                inPrefill.remainingPrefillTokens = 0;
                inPrefill.attemptFirstTokenMs = toMs;
                inPrefill.firstTokenMs = inPrefill.firstTokenMs < 0 ? toMs : inPrefill.firstTokenMs;
            }
        }
        finishCompleted(toMs);
    }

    private void finishCompleted(double atMs) {
        List<SimRequest> done = new ArrayList<>();
        for (SimRequest request : active) {
            if (request.remainingPrefillTokens <= EPSILON
                    && request.outputTokens - request.deliveredTokens <= EPSILON) {
                done.add(request);
            }
        }
        active.removeAll(done);
        activateQueued();
        for (SimRequest request : done) {
            request.endMs = atMs;
            if (request.firstTokenMs < 0) {
                request.firstTokenMs = atMs;
            }
            onFinished.accept(request);
        }
    }

    private void countTokens(SimRequest request, double tokens) {
        if (request.isEngineWork()) {
            request.processedTokens += tokens;
            request.preemptibleTokens += spec.market() == Market.PREEMPTIBLE ? tokens : 0;
        }
    }
}
