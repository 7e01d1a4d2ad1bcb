package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;

import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryAfterTest {
    private static long pauseMs(int status, String... values) {
        BasicHttpResponse response = new BasicHttpResponse(status);
        for (String value : values) {
            response.addHeader("Retry-After", value);
        }
        return RetryAfter.pauseMs(response).orElse(0);
    }

    // Guards against pauses that an upstream has not asked for, and against losing one for days by a wrong digit.
    @ParameterizedTest
    @CsvSource({
        "1, 1000",
        "0.25, 250",
        "' 2.5 ', 2500",
        "0.0004, 1",
        "0, 0",
        "0.0, 0",
        "-1, 0",
        "'', 0",
        "soon, 0",
        "NaN, 0",
        "Infinity, 0",
        "1e3, 0",
        "0x10, 0",
        "1;2, 0",
        "'Sat, 05 Dec 2026 16:00:00 GMT', 0",
        "3600, 3600000",
        "86400, 3600000",
        "99999999999999999999999999999999, 3600000"
    })
    void secondsAreRead(String value, long expectedMs) {
        assertThat(pauseMs(503, value)).isEqualTo(expectedMs);
    }

    // Guards against taking the shorter one of two statements.
    @Test
    void longestOfSeveralCounts() {
        assertThat(pauseMs(503, "0.5", "2", "soon")).isEqualTo(2_000);
    }

    // Guards against pauses for responses that turn nobody away.
    @ParameterizedTest
    @CsvSource({"200", "429", "500", "502"})
    void otherStatusesAskForNothing(int status) {
        assertThat(pauseMs(status, "2")).isEqualTo(0);
    }
}
