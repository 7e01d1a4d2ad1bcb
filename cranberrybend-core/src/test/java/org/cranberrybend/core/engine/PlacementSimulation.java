package org.cranberrybend.core.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cranberrybend.core.balancing.ServiceLoad;
import org.cranberrybend.core.engine.SimulatedEngine.Job;

/**
 * Several instances place the requests of three routes at the engines of a service. Each learns from its own streams and
 * receives the load of all engines at intervals.
 */
final class PlacementSimulation {
    /**
     * Requests of one route.
     *
     * @param share share of all requests
     * @param prefixes number of shared prefixes
     */
    record Route(
            double share,
            int prefixes,
            int prefixTokens,
            int uniqueTokens,
            int outputTokens,
            double firstEventTargetMs,
            double pauseTargetMs) {}

    /** The routes of the deployment whose tightest one is late for 22 in 100 requests. */
    static final List<Route> ROUTES = List.of(
            new Route(0.80, 40, 900, 300, 150, 1_211, 200),
            new Route(0.13, 30, 6_200, 2_990, 150, 1_219, 300),
            new Route(0.07, 20, 9_000, 8_020, 200, 2_027, 800));

    /** Chooses the engine of a request. */
    interface Policy {
        int choose(Instance instance, Route route, long prefixHash, Random random);
    }

    /** What one instance knows. */
    static final class Instance {
        final int fleet;
        final int slots;
        final int[] own;
        final long[] ownPrefill;
        final int[] reported;
        final int[] ownAtReport;
        final double[] reportedAtMs;
        final ServiceEngineModel model = new ServiceEngineModel();
        final ServiceLoad load = new ServiceLoad();
        final List<EngineEstimator> estimators = new ArrayList<>();
        long nowMs;

        Instance(int fleet, int engines, int slots) {
            this.fleet = fleet;
            this.slots = slots;
            own = new int[engines];
            ownPrefill = new long[engines];
            reported = new int[engines];
            ownAtReport = new int[engines];
            reportedAtMs = new double[engines];
            for (int i = 0; i < engines; i++) {
                estimators.add(new EngineEstimator(model));
            }
        }

        double expectedRequests(int engine) {
            int others = Math.max(0, reported[engine] - ownAtReport[engine]);
            return own[engine] + load.expectedOthers(others, nowMs - reportedAtMs[engine], slots);
        }

        void report(int engine, int requests, double atMs) {
            if (atMs > reportedAtMs[engine]) {
                load.recordReport(Math.max(0, requests - own[engine]), slots, atMs - reportedAtMs[engine]);
                reported[engine] = requests;
                ownAtReport[engine] = own[engine];
                reportedAtMs[engine] = atMs;
            }
        }
    }

    private static final class Sent {
        final Instance instance;
        final Route route;
        final Job job;
        final boolean prefixKnown;
        final int uncached;
        final double sentTokens;
        boolean begun;

        Sent(Instance instance, Route route, Job job, boolean prefixKnown, int uncached, double sentTokens) {
            this.instance = instance;
            this.route = route;
            this.job = job;
            this.prefixKnown = prefixKnown;
            this.uncached = uncached;
            this.sentTokens = sentTokens;
        }
    }

    /**
     * What a run shows.
     *
     * @param lateRatio part of the requests that missed a target
     * @param prefilledAgain prefixes prefilled again per request
     * @param busiestToMean requests at the busiest engine over the mean, averaged over time
     */
    record Result(double lateRatio, double prefilledAgain, double busiestToMean) {}

    private static final int CACHED_PREFIXES = 30;
    private static final double EXCHANGE_MS = 400;
    private static final double WARM_UP_MS = 15_000;
    private static final double LENGTH_MS = 60_000;

    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final List<Set<Long>> caches = new ArrayList<>();
    private final List<List<Sent>> open = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final Random random;
    private int completed;
    private int late;
    private int prefilledAgain;

    PlacementSimulation(int instanceCount, int engineCount, int slots, double slowRatio, long seed) {
        random = new Random(seed);
        for (int i = 0; i < engineCount; i++) {
            double ratio = i == 0 ? slowRatio : 1;
            engines.add(new SimulatedEngine(slots, 3.8, 0.03, 80, timeMs -> ratio, true));
            caches.add(new LinkedHashSet<>());
            open.add(new ArrayList<>());
        }
        for (int i = 0; i < instanceCount; i++) {
            instances.add(new Instance(instanceCount, engineCount, slots));
        }
    }

    Result run(Policy policy, double requestsPerEngineAndS) {
        double interarrivalMs = 1_000 / (requestsPerEngineAndS * engines.size());
        double timeMs = 0;
        double nextExchangeMs = 0;
        double ratios = 0;
        int samples = 0;
        while (timeMs < LENGTH_MS) {
            timeMs += -Math.log(1 - random.nextDouble()) * interarrivalMs;
            for (int i = 0; i < engines.size(); i++) {
                engines.get(i).runUntil(timeMs);
                observe(i, timeMs);
            }
            if (timeMs >= nextExchangeMs) {
                for (Instance instance : instances) {
                    for (int i = 0; i < engines.size(); i++) {
                        instance.report(i, engines.get(i).requests(), timeMs);
                    }
                }
                nextExchangeMs = timeMs + EXCHANGE_MS;
            }
            place(policy, timeMs);
            if (timeMs > WARM_UP_MS) {
                ratios += busiestToMean();
                samples++;
            }
        }
        return new Result(late / (double) completed, prefilledAgain / (double) completed, ratios / samples);
    }

    private void place(Policy policy, double timeMs) {
        Instance instance = instances.get(random.nextInt(instances.size()));
        instance.nowMs = (long) timeMs;
        double position = random.nextDouble();
        int index = position < ROUTES.get(0).share ? 0 : position < 1 - ROUTES.get(2).share ? 1 : 2;
        Route route = ROUTES.get(index);
        long prefixHash = new Random(index * 1_000L + random.nextInt(route.prefixes)).nextLong();
        int chosen = policy.choose(instance, route, prefixHash, random);
        boolean cached = caches.get(chosen).remove(prefixHash);
        caches.get(chosen).add(prefixHash);
        if (caches.get(chosen).size() > CACHED_PREFIXES) {
            Iterator<Long> eldest = caches.get(chosen).iterator();
            eldest.next();
            eldest.remove();
        }
        if (timeMs > WARM_UP_MS && !cached) {
            prefilledAgain++;
        }
        boolean known = instance.model.prefixes().isCached(prefixHash, chosen, instance.nowMs);
        int uncached = route.uniqueTokens + (known ? 0 : route.prefixTokens);
        EngineEstimator estimator = instance.estimators.get(chosen);
        double sentTokens = estimator.recordSent(uncached, instance.ownPrefill[chosen], instance.nowMs);
        estimator.recordTarget(route.pauseTargetMs, instance.nowMs);
        instance.model.prefixes().recordSent(prefixHash, chosen, instance.nowMs);
        instance.own[chosen]++;
        instance.ownPrefill[chosen] += uncached;
        int prompt = route.uniqueTokens / 2 + random.nextInt(route.uniqueTokens) + (cached ? 0 : route.prefixTokens);
        Job job = new Job(timeMs, prompt, route.outputTokens / 2 + random.nextInt(route.outputTokens));
        engines.get(chosen).add(job);
        open.get(chosen).add(new Sent(instance, route, job, known, uncached, sentTokens));
    }

    private void observe(int engine, double timeMs) {
        for (Iterator<Sent> all = open.get(engine).iterator(); all.hasNext(); ) {
            Sent sent = all.next();
            Instance instance = sent.instance;
            EngineEstimator estimator = instance.estimators.get(engine);
            Job job = sent.job;
            long nowMs = (long) timeMs;
            if (!sent.begun && job.firstEventMs >= 0) {
                sent.begun = true;
                instance.ownPrefill[engine] -= sent.uncached;
                instance.report(engine, engines.get(engine).requests(), timeMs);
                if (sent.prefixKnown) {
                    estimator.recordFirstEvent(sent.sentTokens, job.firstEventMs - job.sentMs, false, nowMs);
                }
            }
            if (job.isComplete()) {
                all.remove();
                instance.own[engine]--;
                instance.load.recordDuration(timeMs - job.sentMs);
                if (job.events > 3) {
                    estimator.recordEvents(
                            engines.get(engine).requests(), job.meanEventMs(), job.longestPauseMs, nowMs);
                }
                estimator.recordEnd(job.lastEventMs - job.sentMs, sent.route.uniqueTokens + job.outputTokens);
                count(sent);
            }
        }
    }

    private void count(Sent sent) {
        if (sent.job.sentMs > WARM_UP_MS) {
            completed++;
            boolean inTime = sent.job.firstEventMs - sent.job.sentMs <= sent.route.firstEventTargetMs
                    && sent.job.longestPauseMs <= sent.route.pauseTargetMs;
            late += inTime ? 0 : 1;
        }
    }

    private double busiestToMean() {
        int total = 0;
        int most = 0;
        for (SimulatedEngine engine : engines) {
            total += engine.requests();
            most = Math.max(most, engine.requests());
        }
        return total == 0 ? 1 : most * (double) engines.size() / total;
    }
}
