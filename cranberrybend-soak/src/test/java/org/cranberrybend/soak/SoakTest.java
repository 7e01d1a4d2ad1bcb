package org.cranberrybend.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short soak with fixed seeds; {@code bin/cranberrybend-soak} does the long runs. */
class SoakTest {
    private static final Path ROOT = Path.of(System.getProperty("cranberrybend.root"));
    private static final long LENGTH_MS = 18_000;
    private static final int INSTANCES = 3;

    // Guards against promises that entry processes break under overlapping faults.
    @ParameterizedTest
    @ValueSource(longs = {4, 21})
    void promisesAreKept(long seed, @TempDir Path directory) throws Exception {
        Schedule schedule = Schedule.draw(seed, LENGTH_MS, INSTANCES);
        Path program = ROOT.resolve("target/cranberrybend.jar");
        try (SoakRun run = new SoakRun(schedule, LENGTH_MS, INSTANCES, directory, SoakMain.command(program))) {
            SoakRun.Result result = run.run();
            assertWithMessage("schedule %s", schedule.entries())
                    .that(result.violations())
                    .isEmpty();
            assertThat(result.outcomes().getOrDefault("200", 0)).isGreaterThan(300);
        }
    }

    // Guards against schedules that cannot be reproduced from their seed.
    @Test
    void seedDecidesTheSchedule() {
        assertThat(Schedule.draw(7, LENGTH_MS, INSTANCES)).isEqualTo(Schedule.draw(7, LENGTH_MS, INSTANCES));
        assertThat(Schedule.draw(7, LENGTH_MS, INSTANCES).entries())
                .isNotEqualTo(Schedule.draw(8, LENGTH_MS, INSTANCES).entries());
    }
}
