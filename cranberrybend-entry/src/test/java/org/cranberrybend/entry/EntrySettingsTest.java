package org.cranberrybend.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.cranberrybend.core.rateshare.LimitBound;
import org.cranberrybend.entry.json.JsonFormatException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class EntrySettingsTest {
    private static EntrySettings parse(String added) throws JsonFormatException {
        String json = "{\"instance\":\"i\",\"availability_zone\":\"z\",\"region\":\"r\",\"regions_by_zone\":{},"
                + "\"listen\":{\"callers\":\"127.0.0.1:1\",\"readiness\":\"127.0.0.1:1\",\"control\":\"127.0.0.1:1\","
                + "\"metrics\":\"127.0.0.1:1\"},\"store\":{\"address\":\"127.0.0.1:1\"},\"duties\":{},"
                + "\"memory_mb\":100,\"shutdown_limit_s\":8,\"retry_budget\":{},\"lease_ms\":3000,"
                + "\"usage\":{\"window_s\":5,\"due_s\":10}" + added + "}";
        return EntrySettings.parse(json.getBytes(StandardCharsets.UTF_8));
    }

    // Guards against settings without a bound of rate limits that cannot be used, and against a part of them that is
    // ignored.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "''|4000|1.5|5",
                ",\"rate_limit\":{}|4000|1.5|5",
                ",\"rate_limit\":{\"window_ms\":1000,\"overshoot\":1,\"slack\":2}|1000|1|2"
            })
    void boundOfRateLimitsHasDefaults(String added, long windowMs, double overshoot, double slack) throws Exception {
        assertThat(parse(added).rateLimitBound()).isEqualTo(new LimitBound(windowMs, overshoot, slack));
    }

    // Guards against a bound that allows nothing or everything because of a wrong sign or type.
    @ParameterizedTest
    @ValueSource(
            strings = {
                ",\"rate_limit\":{\"window_ms\":0}",
                ",\"rate_limit\":{\"overshoot\":-1}",
                ",\"rate_limit\":{\"slack\":-5}",
                ",\"rate_limit\":{\"slack\":\"5\"}",
                ",\"rate_limit\":7"
            })
    void wrongBoundIsRefused(String added) {
        assertThrows(JsonFormatException.class, () -> parse(added));
    }

    // Guards against two instances that the platform cannot tell apart, because no header can hold their names, and
    // against the refusal of names that headers can hold.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"front-1|true", "elő-1|true", "a b|true", "a\\n|false", "'a '|false", "\\ud800|false"})
    void nameOfTheInstanceFitsAHeader(String name, boolean accepted) throws Exception {
        String added = ",\"instance\":\"" + name + "\"";
        if (accepted) {
            assertThat(parse(added).instance()).isEqualTo(name);
        } else {
            assertThrows(JsonFormatException.class, () -> parse(added));
        }
    }
}
