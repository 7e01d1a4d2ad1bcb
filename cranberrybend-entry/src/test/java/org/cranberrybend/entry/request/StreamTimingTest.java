package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cranberrybend.entry.testing.Upstreams;
import org.cranberrybend.entry.upstream.Prompt;
import org.cranberrybend.entry.upstream.Upstream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamTimingTest {
    private static final Prompt PROMPT = Prompt.of("work", List.of(new Prompt.Part("session", 400)));
    private static final int STREAMS = 12;
    private static final int EVENTS = 20;

    private final Upstream upstream = Upstreams.listed("engine", "zone-a");

    // Guards against an engine that counts as slow because callers received its events slowly, and against pauses of
    // the engine that are not seen.
    @ParameterizedTest
    @CsvSource({"4, 4, false, 4, 5", "4, 900, false, 400, 901", "4, 900, true, 4, 5"})
    void pausesOfTheEngineAreMeasuredAndThoseOfTheCallerAreNot(
            long eventMs, long pauseMs, boolean callerPaused, double minPauseMs, double maxPauseMs) {
        long nowMs = 1_000_000;
        for (int i = 0; i < STREAMS; i++) {
            StreamTiming timing = new StreamTiming(upstream, PROMPT, 200, nowMs);
            upstream.begin(timing.uncachedTokens());
            timing.onSent(nowMs);
            nowMs += 30;
            for (int j = 0; j < EVENTS; j++) {
                nowMs += j == EVENTS / 2 ? pauseMs : eventMs;
                if (j == EVENTS / 2 && callerPaused) {
                    timing.onReadingChanged();
                }
                timing.onEvents(nowMs);
            }
            timing.onEnd(nowMs);
            upstream.recordPrefillEnd(timing.uncachedTokens());
            upstream.end();
        }
        assertThat(upstream.engine().estimator().service().isLearned()).isTrue();
        double longestPauseMs = upstream.engine().estimate(400, 16, nowMs).longestPauseMs();
        assertThat(longestPauseMs).isAtLeast(minPauseMs);
        assertThat(longestPauseMs).isAtMost(maxPauseMs);
    }
}
