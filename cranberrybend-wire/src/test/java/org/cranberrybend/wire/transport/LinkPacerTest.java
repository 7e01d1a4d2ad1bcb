package org.cranberrybend.wire.transport;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.stream.Stream;
import org.cranberrybend.core.time.ManualTimeSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class LinkPacerTest {
    private static final long RETRY_DELAY_MS = 50;

    private final ManualTimeSource clock = new ManualTimeSource(1_000);
    private final Queue<Runnable> scheduled = new ArrayDeque<>();
    private final LinkPacer pacer = new LinkPacer(1_000, 500, clock, (task, delayMs) -> {
        assertThat(delayMs).isEqualTo(RETRY_DELAY_MS);
        scheduled.add(task);
    });

    static Stream<Arguments> frames() {
        return Stream.of(
                Arguments.of("within the burst", List.of(200L, 300L), List.of(0L, 0L)),
                Arguments.of("beyond the burst", List.of(500L, 100L, 50L), List.of(0L, 100L, 150L)),
                Arguments.of("a small frame does not overtake", List.of(400L, 200L, 50L), List.of(0L, 100L, 150L)),
                Arguments.of("larger than the burst", List.of(1_500L, 100L), List.of(0L, 1_100L)));
    }

    // Guards against frames that are lost, reordered, or written faster than the byte budget of the link allows.
    @ParameterizedTest(name = "{0}")
    @MethodSource("frames")
    void writesEachFrameOnceTheBudgetAllowsIt(String name, List<Long> lengths, List<Long> expectedDelaysMs) {
        List<Long> delaysMs = new ArrayList<>();
        for (long length : lengths) {
            pacer.submit(length, () -> delaysMs.add(clock.monotonicMs() - 1_000));
        }
        while (!scheduled.isEmpty()) {
            clock.advanceMs(RETRY_DELAY_MS);
            scheduled.remove().run();
        }

        assertThat(delaysMs).isEqualTo(expectedDelaysMs);
    }
}
