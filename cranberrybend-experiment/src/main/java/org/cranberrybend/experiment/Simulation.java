package org.cranberrybend.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.function.Function;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.scaling.ScalingDecision;

/**
 * Discrete-event simulation of one policy, with the same retries for every policy.
 *
 * <p>A request whose attempt failed is retried up to three times and resumed after the tokens already delivered, unless
 * it is not idempotent and may have been executed. Callers do not repeat refused requests. The list of upstreams lags
 * by 2 s, and load reports are up to 1 s old.
 */
final class Simulation implements DispatchPolicy.Actions {
    private static final long LIST_LAG_MS = 2_000;
    private static final long REPORT_INTERVAL_MS = 1_000;
    private static final long SCALING_INTERVAL_MS = 5_000;
    private static final long START_DELAY_MS = 40_000;
    private static final int MAX_ATTEMPTS = 4;

    private record Event(long atMs, long sequence, Runnable action) {}

    private final Deployment deployment;
    private final List<SimRequest> requests;
    private final Fleet fleet;
    private final DispatchPolicy policy;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private final Map<String, long[]> offeredTokens = new HashMap<>();
    /** Tokens processed so far by class, at each start and end of a burst in turn. */
    private final List<Map<String, Double>> burstSnapshots = new ArrayList<>();

    private long nextSequence;
    private long nowMs;
    private long dispatchScheduledMs = Long.MAX_VALUE;
    private double cost;

    Simulation(
            Deployment deployment,
            List<SimRequest> arrivals,
            Function<DispatchPolicy.Actions, DispatchPolicy> policyFactory) {
        this.deployment = deployment;
        this.requests = arrivals.stream().map(SimRequest::copyWithoutProgress).toList();
        this.fleet = new Fleet(deployment, request -> schedule(nowMs, () -> finished(request)));
        this.policy = policyFactory.apply(this);
    }

    /** Runs until no event is left and returns the results. */
    Measures run() {
        policy.onUpstreamList(fleet.listed(), 0);
        requests.forEach(request -> schedule(request.arrivalMs, () -> arrive(request)));
        for (long atMs = 0; atMs < Deployment.DURATION_MS; atMs += REPORT_INTERVAL_MS) {
            schedule(atMs, () -> fleet.engines.forEach(engine -> engine.reportedLoad = engine.load()));
            if (Deployment.isBurst(atMs) != Deployment.isBurst(atMs - REPORT_INTERVAL_MS) && atMs > 0) {
                schedule(atMs, this::snapshot);
            }
            if (deployment.isScaled() && atMs > 0 && atMs % SCALING_INTERVAL_MS == 0) {
                schedule(atMs, this::scale);
            }
        }
        schedule(Deployment.DURATION_MS, () -> {
            snapshot();
            cost = fleet.cost(nowMs);
        });
        deployment.faults().forEach(fault -> schedule(fault.atMs(), () -> startFault(fault)));
        while (!events.isEmpty()) {
            Event event = events.remove();
            nowMs = event.atMs();
            event.action().run();
            scheduleDispatch();
        }
        return Measures.of(deployment, requests, burstSnapshots, cost);
    }

    private void schedule(long atMs, Runnable action) {
        events.add(new Event(Math.max(nowMs, atMs), nextSequence++, action));
    }

    private void scheduleDispatch() {
        OptionalLong next = policy.nextDispatchMs(nowMs);
        if (next.isPresent() && next.getAsLong() < dispatchScheduledMs) {
            long atMs = next.getAsLong();
            dispatchScheduledMs = atMs;
            schedule(atMs, () -> {
                if (dispatchScheduledMs == atMs) {
                    dispatchScheduledMs = Long.MAX_VALUE;
                }
                policy.dispatch(nowMs);
            });
        }
    }

    private void snapshot() {
        fleet.engines.forEach(engine -> engine.advance(nowMs));
        Map<String, Double> processed = new HashMap<>();
        for (SimRequest request : requests) {
            processed.merge(request.spec.requestClass().name(), request.processedTokens, Double::sum);
        }
        burstSnapshots.add(processed);
        fleet.engines.forEach(this::scheduleEngineEvent);
    }

    private void arrive(SimRequest request) {
        addTokens(offeredTokens, request);
        schedule(request.arrivalMs + request.spec.callerTimeoutMs(), () -> disconnect(request));
        policy.offer(request, nowMs);
    }

    private static void addTokens(Map<String, long[]> tokens, SimRequest request) {
        long[] sums = tokens.computeIfAbsent(request.zone, zone -> new long[2]);
        if (request.spec.requestClass().tier().number() <= Tier.TIER_1.number()) {
            sums[0] += Math.round(request.totalTokens());
        }
        sums[1] += Math.round(request.totalTokens());
    }

    private void disconnect(SimRequest request) {
        if (request.state == SimRequest.State.WAITING) {
            request.state = SimRequest.State.DISCONNECTED;
            policy.onCallerDisconnected(request, nowMs);
        } else if (request.state == SimRequest.State.SENT) {
            EngineModel engine = request.engine;
            engine.advance(nowMs);
            boolean done = request.endMs >= 0;
            if (request.firstTokenMs < 0 && !done) {
                engine.cancel(request, nowMs);
                request.state = SimRequest.State.DISCONNECTED;
                policy.onAttemptEnded(request, engine, outcome(request, SlotResult.CANCELLED), nowMs);
            }
            scheduleEngineEvent(engine);
        }
    }

    @Override
    public void send(SimRequest request, EngineModel engine, long atMs) {
        request.state = SimRequest.State.SENT;
        request.sentMs = nowMs;
        request.engine = engine;
        if (!engine.isUp() || engine.removed) {
            schedule(nowMs + 1, () -> fail(request, engine, true));
            return;
        }
        request.executions++;
        request.attemptStartTokens = request.deliveredTokens;
        engine.start(request, nowMs);
        scheduleEngineEvent(engine);
    }

    @Override
    public void refuse(SimRequest request) {
        if (request.state == SimRequest.State.WAITING) {
            request.state = SimRequest.State.REFUSED;
        }
    }

    private void finished(SimRequest request) {
        request.state = SimRequest.State.COMPLETED;
        request.billedTokens += request.deliveredTokens - request.attemptStartTokens;
        policy.onAttemptEnded(request, request.engine, outcome(request, SlotResult.COMPLETED), nowMs);
    }

    private void fail(SimRequest request, EngineModel engine, boolean notExecuted) {
        if (request.state != SimRequest.State.SENT) {
            return;
        }
        if (!notExecuted) {
            request.deliveredTokens = Math.floor(request.deliveredTokens);
            request.billedTokens += request.deliveredTokens - request.attemptStartTokens;
        }
        request.state = SimRequest.State.WAITING;
        request.failures++;
        policy.onAttemptEnded(request, engine, outcome(request, SlotResult.FAILED), nowMs);
        boolean retryable = notExecuted || request.spec.idempotent();
        if (retryable && request.failures < MAX_ATTEMPTS) {
            request.excluded.add(engine.id);
            policy.offer(request, nowMs);
        } else {
            request.state = SimRequest.State.FAILED;
        }
    }

    private SlotOutcome outcome(SimRequest request, SlotResult result) {
        double endMs = result == SlotResult.COMPLETED ? request.endMs : nowMs;
        long firstTokenMs = request.attemptFirstTokenMs < 0
                ? -1
                : Math.max(0, Math.round(request.attemptFirstTokenMs - request.sentMs));
        boolean engineWork = request.isEngineWork();
        return new SlotOutcome(
                result,
                engineWork ? Math.round(request.promptTokens + request.attemptStartTokens) : 0,
                engineWork ? Math.round(request.deliveredTokens - request.attemptStartTokens) : 0,
                firstTokenMs,
                Math.max(0, Math.round(endMs - request.sentMs)));
    }

    private void scheduleEngineEvent(EngineModel engine) {
        double nextMs = engine.nextEventMs();
        if (engine.isUp() && nextMs < Double.POSITIVE_INFINITY) {
            long version = engine.version;
            schedule((long) Math.ceil(nextMs), () -> {
                if (engine.version == version) {
                    engine.advance(nowMs);
                    scheduleEngineEvent(engine);
                }
            });
        }
    }

    private void startFault(Fault fault) {
        switch (fault.kind()) {
            case CRASH -> {
                EngineModel engine = fleet.engines.get(fault.engine());
                crash(engine);
                schedule(fault.atMs() + fault.durationMs(), () -> engine.setUp(true, nowMs));
            }
            case SLOW -> {
                EngineModel engine = fleet.engines.get(fault.engine());
                engine.setSlowRatio(1 / 3.0, nowMs);
                scheduleEngineEvent(engine);
                schedule(fault.atMs() + fault.durationMs(), () -> {
                    engine.setSlowRatio(1, nowMs);
                    scheduleEngineEvent(engine);
                });
            }
            default -> {
                for (EngineModel engine : fleet.reclaim(fault.zone(), fault.atMs() + fault.durationMs())) {
                    fleet.remove(engine, nowMs);
                    crash(engine);
                }
                scheduleUpstreamList();
            }
        }
    }

    private void crash(EngineModel engine) {
        for (SimRequest request : engine.setUp(false, nowMs)) {
            fail(request, engine, false);
        }
    }

    private void scheduleUpstreamList() {
        schedule(nowMs + LIST_LAG_MS, () -> policy.onUpstreamList(fleet.listed(), nowMs));
    }

    private void scale() {
        Map<String, long[]> queuedTokens = new HashMap<>();
        for (SimRequest request : requests) {
            if (request.arrivalMs > nowMs) {
                break;
            }
            if (request.state == SimRequest.State.WAITING) {
                addTokens(queuedTokens, request);
            }
        }
        for (ScalingDecision decision : fleet.decide(offeredTokens, queuedTokens, SCALING_INTERVAL_MS, nowMs)) {
            if (decision instanceof ScalingDecision.Start start) {
                fleet.recordOrder(start);
                schedule(nowMs + START_DELAY_MS, () -> {
                    fleet.completeOrder(start, nowMs);
                    scheduleUpstreamList();
                });
            } else if (decision instanceof ScalingDecision.Drain drain) {
                fleet.drain(drain.upstreamId(), nowMs);
                scheduleUpstreamList();
            } else if (decision instanceof ScalingDecision.Release release) {
                fleet.remove(fleet.find(release.upstreamId()), nowMs);
                scheduleUpstreamList();
            }
        }
        offeredTokens.clear();
    }
}
