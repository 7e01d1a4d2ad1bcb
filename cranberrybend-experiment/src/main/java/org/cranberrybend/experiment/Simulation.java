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
 * One run of a policy: events in order of time, with the retries that every policy shares.
 *
 * <p>A request that fails is sent again up to three times, resumed after the tokens already delivered, unless it is not
 * idempotent and may have run. Callers do not repeat refused requests. The list of upstreams lags 2 s and load reports
 * lag 1 s.
 */
final class Simulation implements DispatchPolicy.Actions {
    private static final long LIST_LAG_MS = 2_000;
    private static final long REPORT_INTERVAL_MS = 1_000;
    private static final long SCALING_INTERVAL_MS = 5_000;
    private static final long START_DELAY_MS = 40_000;
    private static final int RUNS_MAX = 4;

    private record Event(long atMs, long sequence, Runnable action) {}

    private final Deployment deployment;
    private final List<SimRequest> requests;
    private final Fleet fleet;
    private final DispatchPolicy policy;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private final Map<String, long[]> offeredTokens = new HashMap<>();
    /** Tokens processed by class at each start and end of a burst. */
    private final List<Map<String, Double>> burstSnapshots = new ArrayList<>();

    private long nextSequence;
    private long nowMs;
    private long actScheduledMs = Long.MAX_VALUE;
    private double cost;

    Simulation(
            Deployment deployment,
            List<SimRequest> arrivals,
            Function<DispatchPolicy.Actions, DispatchPolicy> policyFactory) {
        this.deployment = deployment;
        this.requests = arrivals.stream().map(SimRequest::fresh).toList();
        this.fleet = new Fleet(deployment, request -> schedule(nowMs, () -> finished(request)));
        this.policy = policyFactory.apply(this);
    }

    /** Runs to the end and returns what was measured. */
    Measures run() {
        policy.announced(fleet.listed(), 0);
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
            scheduleAct();
        }
        return Measures.of(deployment, requests, burstSnapshots, cost);
    }

    private void schedule(long atMs, Runnable action) {
        events.add(new Event(Math.max(nowMs, atMs), nextSequence++, action));
    }

    private void scheduleAct() {
        OptionalLong next = policy.nextDispatchMs(nowMs);
        if (next.isPresent() && next.getAsLong() < actScheduledMs) {
            long atMs = next.getAsLong();
            actScheduledMs = atMs;
            schedule(atMs, () -> {
                if (actScheduledMs == atMs) {
                    actScheduledMs = Long.MAX_VALUE;
                }
                policy.act(nowMs);
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
        fleet.engines.forEach(this::wake);
    }

    private void arrive(SimRequest request) {
        addTokens(offeredTokens, request);
        schedule(request.arrivalMs + request.spec.patienceMs(), () -> giveUp(request));
        policy.offer(request, nowMs);
    }

    private static void addTokens(Map<String, long[]> tokens, SimRequest request) {
        long[] sums = tokens.computeIfAbsent(request.zone, zone -> new long[2]);
        if (request.spec.requestClass().tier().number() <= Tier.TIER_1.number()) {
            sums[0] += Math.round(request.totalTokens());
        }
        sums[1] += Math.round(request.totalTokens());
    }

    private void giveUp(SimRequest request) {
        if (request.state == SimRequest.State.WAITING) {
            request.state = SimRequest.State.GIVEN_UP;
            policy.withdrawn(request, nowMs);
        } else if (request.state == SimRequest.State.SENT) {
            EngineModel engine = request.engine;
            engine.advance(nowMs);
            boolean done = request.endMs >= 0;
            if (request.firstTokenMs < 0 && !done) {
                engine.cancel(request, nowMs);
                request.state = SimRequest.State.GIVEN_UP;
                policy.ended(request, engine, outcome(request, SlotResult.CANCELLED), nowMs);
            }
            wake(engine);
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
        request.runs++;
        request.attemptStartTokens = request.deliveredTokens;
        engine.start(request, nowMs);
        wake(engine);
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
        policy.ended(request, request.engine, outcome(request, SlotResult.COMPLETED), nowMs);
    }

    private void fail(SimRequest request, EngineModel engine, boolean notRun) {
        if (request.state != SimRequest.State.SENT) {
            return;
        }
        if (!notRun) {
            request.deliveredTokens = Math.floor(request.deliveredTokens);
            request.billedTokens += request.deliveredTokens - request.attemptStartTokens;
        }
        request.state = SimRequest.State.WAITING;
        request.failures++;
        policy.ended(request, engine, outcome(request, SlotResult.FAILED), nowMs);
        boolean repeatable = notRun || request.spec.idempotent();
        if (repeatable && request.failures < RUNS_MAX) {
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

    private void wake(EngineModel engine) {
        double nextMs = engine.nextEventMs();
        if (engine.isUp() && nextMs < Double.POSITIVE_INFINITY) {
            long version = engine.version;
            schedule((long) Math.ceil(nextMs), () -> {
                if (engine.version == version) {
                    engine.advance(nowMs);
                    wake(engine);
                }
            });
        }
    }

    private void startFault(Fault fault) {
        switch (fault.kind()) {
            case CRASH -> {
                EngineModel engine = fleet.engines.get(fault.engine());
                loseAll(engine);
                schedule(fault.atMs() + fault.durationMs(), () -> engine.setUp(true, nowMs));
            }
            case SLOW -> {
                EngineModel engine = fleet.engines.get(fault.engine());
                engine.setSlowRatio(1 / 3.0, nowMs);
                wake(engine);
                schedule(fault.atMs() + fault.durationMs(), () -> {
                    engine.setSlowRatio(1, nowMs);
                    wake(engine);
                });
            }
            default -> {
                for (EngineModel engine : fleet.reclaim(fault.zone(), fault.atMs() + fault.durationMs())) {
                    fleet.remove(engine, nowMs);
                    loseAll(engine);
                }
                announceLater();
            }
        }
    }

    private void loseAll(EngineModel engine) {
        for (SimRequest request : engine.setUp(false, nowMs)) {
            fail(request, engine, false);
        }
    }

    private void announceLater() {
        schedule(nowMs + LIST_LAG_MS, () -> policy.announced(fleet.listed(), nowMs));
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
                fleet.ordered(start);
                schedule(nowMs + START_DELAY_MS, () -> {
                    fleet.started(start, nowMs);
                    announceLater();
                });
            } else if (decision instanceof ScalingDecision.Drain drain) {
                fleet.drain(drain.upstreamId(), nowMs);
                announceLater();
            } else if (decision instanceof ScalingDecision.Release release) {
                fleet.remove(fleet.find(release.upstreamId()), nowMs);
                announceLater();
            }
        }
        offeredTokens.clear();
    }
}
