package org.cranberrybend.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.cranberrybend.core.balancing.ServiceLoad;

/** Instances that send requests of several accounts to upstreams with slots and a bounded queue, in steps of 1 ms. */
final class OverloadSimulation {
    static final int INSTANCES = 3;
    static final int UPSTREAMS = 6;
    static final int SLOTS = 4;
    static final double DURATION_MS = 100;
    /** Requests per second that fit. */
    static final double CAPACITY_PER_S = UPSTREAMS * SLOTS * 1_000 / DURATION_MS;

    private static final long TARGET_MS = 400;
    private static final long DEADLINE_MS = 1_200;
    private static final int UPSTREAM_QUEUE = 6;
    private static final long CHECK_MS = 20;
    private static final long REPORT_MS = 100;

    /**
     * One run.
     *
     * @param admission whether the rules apply, or requests are sent at once as before
     * @param ratePerS requests per second of each account
     * @param returning part of the callers that return at once after a refusal, up to ten times
     * @param burst factor of the rate for 300 ms every 3 s
     * @param reportsEndMs time of the last load report
     */
    record Scenario(
            boolean admission,
            Map<String, Double> ratePerS,
            double returning,
            long reportsEndMs,
            double burst,
            long endMs) {}

    /** What became of the requests of an account; a request that returns counts once. */
    static final class Outcome {
        int requests;
        int inTime;
        int late;
        int failed;

        @Override
        public String toString() {
            return requests + " requests, " + inTime + " in time, " + late + " late, " + failed + " failed";
        }
    }

    private static final class Request {
        String account;
        int instance;
        long arrivedMs;
        boolean returns;
        int returned;
        double durationMs;
        double sentMs;
    }

    private static final class Engine {
        final List<Request> running = new ArrayList<>();
        final List<Double> endsMs = new ArrayList<>();
        final Deque<Request> queue = new ArrayDeque<>();
        final int[] ofInstance = new int[INSTANCES];

        int load() {
            return running.size() + queue.size();
        }
    }

    private final Scenario scenario;
    private final Random random;
    private final Engine[] engines = new Engine[UPSTREAMS];
    private final int[] reported = new int[UPSTREAMS];
    private final int[][] ownAtReport = new int[INSTANCES][UPSTREAMS];
    private final ServiceLoad[] loads = new ServiceLoad[INSTANCES];
    private final List<OverloadQueue<Request>> queues = new ArrayList<>();
    private final ServiceOccupancy occupancy = new ServiceOccupancy();
    private final Map<String, Outcome> outcomes = new TreeMap<>();
    private long reportedAtMs = -1_000_000;
    private long nowMs;
    private int held;
    private long lastHeldMs;

    OverloadSimulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int i = 0; i < UPSTREAMS; i++) {
            engines[i] = new Engine();
        }
        for (int i = 0; i < INSTANCES; i++) {
            loads[i] = new ServiceLoad();
            queues.add(new OverloadQueue<>(1_000, 1_000_000));
        }
    }

    /** Returns how many requests waited at an instance. */
    int held() {
        return held;
    }

    /** Returns when the last request began to wait. */
    long lastHeldMs() {
        return lastHeldMs;
    }

    Map<String, Outcome> run() {
        for (nowMs = 0; nowMs < scenario.endMs(); nowMs++) {
            for (Engine each : engines) {
                complete(each);
            }
            if (nowMs % REPORT_MS == 0 && nowMs <= scenario.reportsEndMs()) {
                report();
            }
            for (Map.Entry<String, Double> each : scenario.ratePerS().entrySet()) {
                for (double left = each.getValue() / 1_000 * (nowMs % 3_000 < 300 ? scenario.burst() : 1);
                        left > random.nextDouble();
                        left--) {
                    Request request = new Request();
                    request.account = each.getKey();
                    request.instance = random.nextInt(INSTANCES);
                    request.arrivedMs = nowMs;
                    request.durationMs = -DURATION_MS * Math.log(1 - random.nextDouble());
                    request.returns = random.nextDouble() < scenario.returning();
                    outcome(request).requests++;
                    arrive(request);
                }
            }
            if (nowMs % CHECK_MS == 0) {
                queues.forEach(this::drain);
            }
        }
        return outcomes;
    }

    private Outcome outcome(Request request) {
        return outcomes.computeIfAbsent(request.account, name -> new Outcome());
    }

    private void report() {
        for (int i = 0; i < UPSTREAMS; i++) {
            reported[i] = engines[i].load();
            for (int instance = 0; instance < INSTANCES; instance++) {
                ownAtReport[instance][i] = engines[i].ofInstance[instance];
                loads[instance].recordReport(reported[i] - ownAtReport[instance][i], SLOTS, nowMs - reportedAtMs);
            }
        }
        reportedAtMs = nowMs;
    }

    private void complete(Engine engine) {
        for (int i = engine.running.size() - 1; i >= 0; i--) {
            if (engine.endsMs.get(i) <= nowMs) {
                Request ended = engine.running.remove(i);
                engine.endsMs.remove(i);
                engine.ofInstance[ended.instance]--;
                loads[ended.instance].recordDuration(nowMs - ended.sentMs);
                long elapsedMs = nowMs - ended.arrivedMs;
                Outcome outcome = outcome(ended);
                outcome.inTime += elapsedMs <= TARGET_MS ? 1 : 0;
                outcome.late += elapsedMs > TARGET_MS && elapsedMs <= DEADLINE_MS ? 1 : 0;
                outcome.failed += elapsedMs > DEADLINE_MS ? 1 : 0;
            }
        }
        while (engine.running.size() < SLOTS && !engine.queue.isEmpty()) {
            Request next = engine.queue.poll();
            engine.running.add(next);
            engine.endsMs.add(nowMs + next.durationMs);
        }
    }

    private double expected(int instance, int upstream) {
        int others = Math.max(0, reported[upstream] - ownAtReport[instance][upstream]);
        return engines[upstream].ofInstance[instance]
                + loads[instance].expectedOthers(others, nowMs - reportedAtMs, SLOTS);
    }

    private boolean measure(int instance) {
        occupancy.clear(loads[instance].observedDurationMs());
        for (int i = 0; i < UPSTREAMS; i++) {
            occupancy.add(expected(instance, i), engines[i].ofInstance[instance], SLOTS, nowMs - reportedAtMs);
        }
        return occupancy.isOverloaded();
    }

    private void arrive(Request request) {
        OverloadQueue<Request> queue = queues.get(request.instance);
        if (!scenario.admission() || !measure(request.instance) && queue.count() == 0) {
            send(request);
            return;
        }
        long latestMs = nowMs + TARGET_MS / 8;
        switch (occupancy.decide(
                queue.count(), occupancy.responseMs(), latestMs, request.arrivedMs + DEADLINE_MS, nowMs)) {
            case REFUSE -> refuse(request);
            default -> {
                held++;
                lastHeldMs = nowMs;
                queue.add(request, new OverloadQueue.Demand(request.account, 0, 1, 1, latestMs));
                drain(queue);
            }
        }
    }

    private void drain(OverloadQueue<Request> queue) {
        Optional<OverloadQueue.Entry<Request>> next = queue.next(each -> !measure(each.instance));
        while (next.isPresent()) {
            queue.removeSent(next.get());
            send(next.get().request());
            next = queue.next(each -> !measure(each.instance));
        }
        for (next = queue.overdue(nowMs); next.isPresent(); next = queue.overdue(nowMs)) {
            Request request = next.get().request();
            measure(request.instance);
            ServiceOccupancy.Decision decision =
                    occupancy.decide(0, occupancy.responseMs(), nowMs, request.arrivedMs + DEADLINE_MS, nowMs);
            boolean refuse = decision == ServiceOccupancy.Decision.REFUSE || !queue.isNext(next.get(), each -> true);
            if (refuse) {
                queue.remove(next.get());
                refuse(request);
            } else {
                queue.removeSent(next.get());
                send(request);
            }
        }
    }

    /** Sends to the least loaded upstream as far as known, and to the next one if that is full. */
    private void send(Request request) {
        int best = 0;
        for (int i = 1; i < UPSTREAMS; i++) {
            best = expected(request.instance, i) < expected(request.instance, best) ? i : best;
        }
        for (int attempt = 0; attempt < 2; attempt++) {
            Engine engine = engines[(best + attempt) % UPSTREAMS];
            if (engine.load() < SLOTS + UPSTREAM_QUEUE) {
                engine.queue.add(request);
                engine.ofInstance[request.instance]++;
                request.sentMs = nowMs;
                complete(engine);
                return;
            }
        }
        refuse(request);
    }

    private void refuse(Request request) {
        if (request.returns && request.returned < 10) {
            request.returned++;
            arrive(request);
        } else {
            outcome(request).failed++;
        }
    }
}
