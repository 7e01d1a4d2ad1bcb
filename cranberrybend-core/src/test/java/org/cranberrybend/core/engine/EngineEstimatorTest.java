package org.cranberrybend.core.engine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Stream;
import org.cranberrybend.core.engine.SimulatedEngine.Job;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class EngineEstimatorTest {
    private static final long SEED = 20261206;
    private static final int SHORT_PROMPT_TOKENS = 400;
    private static final int LONG_PROMPT_TOKENS = 9_000;
    private static final double MACHINE_CYCLE_MS = 400;

    private final ServiceEngineModel service = new ServiceEngineModel();
    private final EngineEstimator estimator = new EngineEstimator(service);
    private final Random random = new Random(SEED);
    private final Map<Job, LatencyEstimate> open = new IdentityHashMap<>();
    private final Map<Job, Double> prefill = new IdentityHashMap<>();
    private final List<Double> firstEventErrors = new ArrayList<>();
    private double actualPauseMs;
    private double estimatedPauseMs;

    @BeforeEach
    void printSeed() {
        System.out.println("seed " + SEED);
    }

    static Stream<Arguments> engines() {
        DoubleUnaryOperator normal = timeMs -> 1;
        DoubleUnaryOperator slowedDown = timeMs -> timeMs < 30_000 ? 1 : 2.5;
        DoubleUnaryOperator shared = timeMs -> timeMs % MACHINE_CYCLE_MS < MACHINE_CYCLE_MS / 2 ? 1 : 2;
        return Stream.of(
                Arguments.of("16 slots, slow", new SimulatedEngine(16, 4.2, 0.05, 64, normal), 120, 25_000, 0.25),
                Arguments.of("64 slots, fast", new SimulatedEngine(64, 3.4, 0.02, 112, normal), 60, 25_000, 0.25),
                Arguments.of(
                        "slows down at 30 s", new SimulatedEngine(64, 3.4, 0.02, 112, slowedDown), 120, 31_000, 0.25),
                Arguments.of("shared machine", new SimulatedEngine(64, 3.8, 0.02, 90, shared), 100, 25_000, 0.4));
    }

    // The median follows a change of speed within 1 s. On the shared machine the last report is older than the phases
    // of its load, so that less is known. Pauses are estimated too long rather than too short.
    // Guards against placement by estimates that are off by a multiple, or that lag behind a change of speed.
    @ParameterizedTest(name = "{0}")
    @MethodSource("engines")
    void estimateIsWithinBound(
            String name, SimulatedEngine engine, double interarrivalMs, double measuredFromMs, double maxMedianError) {
        simulate(engine, interarrivalMs, measuredFromMs, measuredFromMs + 20_000);
        Collections.sort(firstEventErrors);
        double medianError = firstEventErrors.get(firstEventErrors.size() / 2);
        double highError = firstEventErrors.get(firstEventErrors.size() * 9 / 10);
        double pauseRatio = estimatedPauseMs / actualPauseMs;
        System.out.printf(
                "%s: error of the first event: median %.2f, 90th percentile %.2f; pause: estimated to actual %.2f%n",
                name, medianError, highError, pauseRatio);
        assertThat(medianError).isLessThan(maxMedianError);
        assertThat(highError).isLessThan(1.2);
        assertThat(pauseRatio).isGreaterThan(0.7);
        assertThat(pauseRatio).isLessThan(1.8);
    }

    /** Lets requests arrive at random; compares their estimates with what happened. */
    private void simulate(SimulatedEngine engine, double interarrivalMs, double measuredFromMs, double endMs) {
        double timeMs = 0;
        while (timeMs < endMs) {
            timeMs += -Math.log(1 - random.nextDouble()) * interarrivalMs;
            long nowMs = (long) timeMs;
            List<Job> completed = engine.runUntil(timeMs);
            open.keySet().stream()
                    .filter(job -> job.firstEventMs >= 0 && prefill.containsKey(job))
                    .sorted(Comparator.<Job>comparingDouble(job -> job.firstEventMs)
                            .thenComparing(job -> job.sentMs))
                    .forEach(job -> observeFirstEvent(engine, job));
            completed.forEach(job -> observeEnd(engine, job, measuredFromMs));
            int pending = open.keySet().stream()
                    .filter(job -> job.firstEventMs < 0)
                    .mapToInt(job -> job.promptTokens)
                    .sum();
            int tokens = random.nextInt(10) == 0 ? LONG_PROMPT_TOKENS : SHORT_PROMPT_TOKENS;
            Job job = new Job(timeMs, tokens + random.nextInt(tokens), 40 + random.nextInt(200));
            EngineLoad load = new EngineLoad(engine.requests(), engine.requests(), pending, 0);
            open.put(job, estimator.estimate(job.promptTokens, load, engine.slots, nowMs));
            prefill.put(job, estimator.recordSent(job.promptTokens, pending, nowMs));
            engine.add(job);
        }
    }

    private void observeFirstEvent(SimulatedEngine engine, Job job) {
        long nowMs = (long) job.firstEventMs;
        estimator.recordSlowdown(engine.slowdownAt(nowMs), nowMs);
        estimator.recordFirstEvent(prefill.remove(job), job.firstEventMs - job.sentMs, false, nowMs);
    }

    private void observeEnd(SimulatedEngine engine, Job job, double measuredFromMs) {
        LatencyEstimate estimate = open.remove(job);
        double firstEventMs = job.firstEventMs - job.sentMs;
        long nowMs = (long) job.lastEventMs;
        estimator.recordEvents(engine.requests() + 1, job.meanEventMs(), job.longestPauseMs, nowMs);
        estimator.recordEnd(job.lastEventMs - job.sentMs, job.promptTokens + job.outputTokens);
        if (job.sentMs >= measuredFromMs) {
            firstEventErrors.add(Math.abs(estimate.firstEventMs() - firstEventMs) / firstEventMs);
            actualPauseMs += job.longestPauseMs;
            estimatedPauseMs += estimate.longestPauseMs();
        }
    }

    // Guards against sending a long prompt to an engine with sensitive streams because nothing is known yet.
    @Test
    void estimateIsConservativeBeforeTheFirstSamples() {
        EngineLoad idle = new EngineLoad(0, 0, 0, EngineLoad.NO_REPORT);
        LatencyEstimate estimate = estimator.estimate(17_000, idle, 16, 0);
        assertThat(service.isLearned()).isFalse();
        assertThat(estimate.firstEventMs()).isAtLeast(17_000 / 64.0);
        assertThat(estimate.addedPauseMs()).isAtLeast(17_000 / 64.0);
    }

    // Guards against a slowdown that is used long after it was reported: it changes many times a second.
    @Test
    void reportedSlowdownLosesItsWeightWithAge() {
        estimator.recordSlowdown(1, 0);
        estimator.recordSlowdown(3, 1_000);
        double fresh = estimator.slowdown(1_000);
        double old = estimator.slowdown(2_000);
        assertThat(fresh).isWithin(0.01).of(3);
        assertThat(old).isLessThan(1.5);
    }

    // Guards against requests that queue at a full engine, or that fill its cache, while others have room.
    @Test
    void fullEngineAddsTheWaitForASlot() {
        service.setCapacity(new EngineCapacity(16, 0));
        double free =
                estimator.estimate(100, new EngineLoad(0, 10, 0, 0), 16, 0).firstEventMs();
        double full =
                estimator.estimate(100, new EngineLoad(0, 24, 0, 0), 16, 0).firstEventMs();
        service.setCapacity(new EngineCapacity(16, 8_000));
        double cacheFull =
                estimator.estimate(100, new EngineLoad(0, 10, 0, 0), 16, 0).firstEventMs();
        assertThat(full).isGreaterThan(free + 500);
        assertThat(cacheFull).isGreaterThan(free + 500);
    }
}
