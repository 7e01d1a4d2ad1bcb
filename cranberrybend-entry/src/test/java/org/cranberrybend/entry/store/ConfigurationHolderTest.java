package org.cranberrybend.entry.store;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationHolderTest {
    private final TestClock clock = new TestClock();
    private final ConfigurationHolder holder = new ConfigurationHolder(
            ConfigurationHolderTest::decode, new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream()));

    private static RoutingConfiguration decode(String name, byte[] value) throws JsonFormatException {
        try {
            return new RoutingConfiguration(
                    Long.parseLong(new String(value)),
                    List.of(),
                    List.of(),
                    Map.of(),
                    false,
                    new ServerLimits(1_000, 1_000, 1_000, 1_000));
        } catch (NumberFormatException e) {
            throw new JsonFormatException("not a number", e);
        }
    }

    // Guards against a return to an older version, and against an unreadable value that replaces a valid configuration.
    @ParameterizedTest
    @CsvSource({"3 7, 7", "7 3, 7", "7 7 junk, 7", "junk, 0", "7 junk 9, 9"})
    void versionsOnlyIncrease(String offered, long expected) {
        for (String each : offered.split(" ")) {
            holder.offer("store", each.getBytes());
        }
        assertThat(holder.version()).isEqualTo(expected);
    }
}
