package org.cranberrybend.core.slowstart;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SliceRateTest {
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
        assertThat(rate).isEqualTo(new SliceRate(senders, intervalMs));
        assertThat(2.0 * rate.maxPerList()).isAtMost(ratePerS * overshoot + slack);
    }

    // Guards against a slice where not even one request of each of two lists stays within the bound.
    @ParameterizedTest
    @CsvSource({"1, 1.5, 0", "0, 1.5, 5", "-1, 1.5, 5", "9.5, 0, 1.9"})
    void nothingIsSentIfTheBoundIsTooLow(double ratePerS, double overshoot, double slack) {
        assertThat(SliceRate.within(ratePerS, overshoot, slack)).isEqualTo(Optional.empty());
    }
}
