package org.cranberrybend.core.engine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import org.cranberrybend.core.engine.SimulatedEngine.Job;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FirstEventTimeoutTest {
    private static final int CHECK_MS = 50;
    private static final int PROMPT_TOKENS = 17_000;
    private static final int OUTPUT_TOKENS = 20;
    private static final double TOKENS_PER_MS = 112;

    private final FirstEventTimeout timeout = new FirstEventTimeout();

    /** Share of the requests for which a sound engine counts as unresponsive. */
    private double falseAlarms(double startPerS, double burstPerS, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedEngine engine = new SimulatedEngine(24, 3.4, 0.1, TOKENS_PER_MS, timeMs -> 1);
        List<Job> awaited = new ArrayList<>();
        int requests = 0;
        int alarms = 0;
        double nextMs = 0;
        for (double nowMs = 0; nowMs < 30_000; nowMs += CHECK_MS) {
            boolean burst = nowMs >= 10_000 && nowMs < 20_000;
            while (nextMs < nowMs) {
                Job job = new Job(nextMs, PROMPT_TOKENS, OUTPUT_TOKENS);
                engine.add(job);
                awaited.add(job);
                requests++;
                nextMs -= Math.log(1 - random.nextDouble()) * 1_000 / (burst ? burstPerS : startPerS);
            }
            engine.runUntil(nowMs);
            for (Iterator<Job> jobs = awaited.iterator(); jobs.hasNext(); ) {
                Job job = jobs.next();
                boolean alarm = job.firstEventMs < 0 && nowMs - job.sentMs >= timeout.timeoutMs();
                if (alarm || job.firstEventMs >= 0) {
                    timeout.record(alarm ? nowMs - job.sentMs : job.firstEventMs - job.sentMs);
                    jobs.remove();
                    alarms += alarm ? 1 : 0;
                }
            }
        }
        return alarms / (double) requests;
    }

    // A burst of long prompts whose prefixes are not cached: guards against sound engines that count as unresponsive
    // because prefills queue for more than a second, and whose prompts are then prefilled again elsewhere.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void engineWhosePrefillsQueueIsNotUnresponsive(long seed) {
        assertThat(falseAlarms(2, 5.5, seed)).isLessThan(0.03);
    }

    // Guards against seconds of silence before the requests of a dead engine move while the others are fast.
    @Test
    void silentEngineIsFoundWithinASecondWhileFirstEventsAreFast() {
        for (int i = 0; i < 50; i++) {
            timeout.record(80 + i % 5 * 40);
        }
        assertThat(timeout.timeoutMs()).isEqualTo(1_000);
    }

    // Guards against a timeout that stays below all first events, so that none is ever seen.
    @Test
    void timeoutRisesWithoutAnyFirstEvent() {
        timeout.record(100);
        for (int i = 0; i < 20; i++) {
            timeout.record(timeout.timeoutMs());
        }
        assertThat(timeout.timeoutMs()).isAtLeast(2_000L);
    }

    // Guards against a timeout that leaves no time for another attempt, or outlasts the load that raised it.
    @Test
    void timeoutIsLimitedAndFallsAfterTheLoad() {
        for (int i = 0; i < 100; i++) {
            timeout.record(i % 2 == 0 ? 500 : 8_000);
        }
        assertThat(timeout.timeoutMs()).isAtMost(4_000L);
        for (int i = 0; i < 60; i++) {
            timeout.record(120);
        }
        assertThat(timeout.timeoutMs()).isEqualTo(1_000);
    }
}
