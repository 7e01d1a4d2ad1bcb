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
 * An engine with continuous batching, or a plain service.
 *
 * <p>Prompts are processed one after the other; all requests past their prompt decode together, and each further request
 * slows the others down. Requests beyond the slots wait in arrival order. Plain services run each call for its duration.
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
    /** Load as other processes see it; refreshed once per second. */
    int reportedLoad;
    /** Counts changes, so that an outdated wake-up is recognised. */
    long version;

    EngineModel(String id, EngineSpec spec, long startedMs, Consumer<SimRequest> onFinished) {
        this.id = id;
        this.spec = spec;
        this.startedMs = startedMs;
        this.lastMs = startedMs;
        this.onFinished = onFinished;
    }

    Upstream announcement() {
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
        // A resumed answer needs its prompt and the tokens delivered so far processed again.
        request.prefillLeft = request.promptTokens + Math.floor(request.deliveredTokens);
        request.attemptFirstTokenMs = -1;
        queued.add(request);
        refill();
    }

    /** Removes a request whose caller has gone. */
    void cancel(SimRequest request, long nowMs) {
        advance(nowMs);
        active.remove(request);
        queued.remove(request);
        refill();
    }

    /** Goes down or up; returns the requests that were lost. */
    List<SimRequest> setUp(boolean nowUp, long nowMs) {
        advance(nowMs);
        up = nowUp;
        List<SimRequest> lost = new ArrayList<>(active);
        lost.addAll(queued);
        active.clear();
        queued.clear();
        version++;
        return nowUp ? List.of() : lost;
    }

    private void refill() {
        while (active.size() < spec.slots() && !queued.isEmpty()) {
            active.add(queued.remove());
        }
        version++;
    }

    private SimRequest prefilling() {
        for (SimRequest request : active) {
            if (request.prefillLeft > EPSILON) {
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

    /** Returns when the next request finishes its prompt or its answer, or infinity. */
    double nextEventMs() {
        double leastMs = Double.POSITIVE_INFINITY;
        SimRequest prefilling = prefilling();
        if (prefilling != null) {
            leastMs = prefilling.prefillLeft / prefillTokensPerMs();
        }
        double rate = decodeTokensPerMs();
        for (SimRequest request : active) {
            if (request.prefillLeft <= EPSILON) {
                leastMs = Math.min(leastMs, Math.max(0, request.outputTokens - request.deliveredTokens) / rate);
            }
        }
        return lastMs + leastMs;
    }

    /** Runs the engine until the given time. */
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
        SimRequest prefilling = prefilling();
        double rate = decodeTokensPerMs();
        lastMs = toMs;
        for (SimRequest request : active) {
            if (request != prefilling && request.prefillLeft <= EPSILON) {
                request.deliveredTokens = Math.min(request.outputTokens, request.deliveredTokens + rate * elapsedMs);
                count(request, rate * elapsedMs);
            }
        }
        if (prefilling != null) {
            double done = Math.min(prefilling.prefillLeft, elapsedMs * prefillTokensPerMs());
            prefilling.prefillLeft -= done;
            count(prefilling, done);
            if (prefilling.prefillLeft <= EPSILON) {
                prefilling.prefillLeft = 0;
                prefilling.attemptFirstTokenMs = toMs;
                prefilling.firstTokenMs = prefilling.firstTokenMs < 0 ? toMs : prefilling.firstTokenMs;
            }
        }
        finishDone(toMs);
    }

    private void finishDone(double atMs) {
        List<SimRequest> done = new ArrayList<>();
        for (SimRequest request : active) {
            if (request.prefillLeft <= EPSILON && request.outputTokens - request.deliveredTokens <= EPSILON) {
                done.add(request);
            }
        }
        active.removeAll(done);
        refill();
        for (SimRequest request : done) {
            request.endMs = atMs;
            if (request.firstTokenMs < 0) {
                request.firstTokenMs = atMs;
            }
            onFinished.accept(request);
        }
    }

    private void count(SimRequest request, double tokens) {
        if (request.isEngineWork()) {
            request.processedTokens += tokens;
            request.preemptibleTokens += spec.market() == Market.PREEMPTIBLE ? tokens : 0;
        }
    }
}
