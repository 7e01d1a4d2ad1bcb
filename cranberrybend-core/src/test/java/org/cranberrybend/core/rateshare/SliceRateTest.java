package org.cranberrybend.core.rateshare;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SliceRateTest {
    private static final LimitBound LIMIT_BOUND = new LimitBound(4_000, 1.5, 5);

    // Guards against a division with which two lists of instances exceed the bound, and against one far below the rate.
    @ParameterizedTest
    @CsvSource({
        "9.5, 1.5, 5, 3, 334",
        "9.5, 1.0, 0, 4, 1001",
        "0.5, 1.5, 5, 2, 4000",
        "2.0, 1.5, 5, 4, 2000",
        "40, 1.5, 5, 4, 126",
        "2000, 1.5, 5, 2, 2",
        "1.5, 1.5, 0, 1, 1001"
    })
    void twoListsStayWithinTheBound(double ratePerS, double overshoot, double slack, int senders, long intervalMs) {
        SliceRate rate = SliceRate.within(ratePerS, overshoot, slack).get();
        assertThat(rate).isEqualTo(new SliceRate(senders, intervalMs, 1_000));
        assertThat(2.0 * rate.maxPerList()).isAtMost(ratePerS * overshoot + slack);
    }

    // Guards against a slice where not even one request of each of two lists stays within the bound.
    @ParameterizedTest
    @CsvSource({"1, 1.5, 0", "0, 1.5, 5", "-1, 1.5, 5", "9.5, 0, 1.9"})
    void nothingIsSentIfTheBoundIsTooLow(double ratePerS, double overshoot, double slack) {
        assertThat(SliceRate.within(ratePerS, overshoot, slack)).isEqualTo(Optional.empty());
    }

    // Guards against a stated limit that two lists of instances exceed, and against giving up much of a limit, or
    // letting few instances use it, because of rounding.
    @ParameterizedTest
    @CsvSource({
        "1, 8, 5, 5000",
        "1, 89, 5, 5000",
        "2.2, 8, 8, 4001",
        "2.2, 89, 9, 4091",
        "9.2, 89, 30, 4001",
        "50, 8, 8, 211",
        "1e9, 8, 8, 1"
    })
    void statedLimitIsDivided(double limitPerS, int instances, int senders, long intervalMs) {
        SliceRate rate = SliceRate.ofLimit(limitPerS, LIMIT_BOUND, instances);
        assertThat(rate).isEqualTo(new SliceRate(senders, intervalMs, LIMIT_BOUND.windowMs()));
        assertThat(2L * rate.maxPerList()).isAtMost(LIMIT_BOUND.maxRequests(limitPerS));
    }

    // Guards against an upstream whose limit of almost nothing is never seen to end, and against many requests to it.
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.001, 0.09, 0.1})
    void smallLimitIsProbedRarely(double limitPerS) {
        assertThat(SliceRate.ofLimit(limitPerS, LIMIT_BOUND, 89)).isEqualTo(new SliceRate(1, 10_000, 4_000));
        assertThat(SliceRate.ofLimit(limitPerS, new LimitBound(4_000, 0, 0), 89).senders())
                .isEqualTo(1);
    }

    // Guards against exceeding the bound for any limit and any number of instances that a list may have.
    @Test
    void listsOfAnySizesStayWithinTheBound() {
        for (int tenths = 0; tenths < 2_000; tenths++) {
            double limitPerS = tenths / 10.0;
            for (int instances = 1; instances <= 100; instances++) {
                SliceRate rate = SliceRate.ofLimit(limitPerS, LIMIT_BOUND, instances);
                assertWithMessage("%s for %s", limitPerS, instances)
                        .that(2L * rate.maxPerList())
                        .isAtMost(LIMIT_BOUND.maxRequests(limitPerS));
            }
        }
    }
}
