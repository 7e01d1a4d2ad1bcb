package org.cranberrybend.core.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Retries must stay within the deadline, the number of attempts and the budget. */
class RetryPolicyTest {
    /** The backoff must stay within its bounds, and no attempt may start at or after the deadline. */
    @ParameterizedTest
    @CsvSource({
        "1, 0.0,  0,   1000, 0",
        "1, 0.5,  0,   1000, 10",
        "1, 0.99, 0,   1000, 19",
        "2, 0.99, 0,   1000, 39",
        "3, 0.99, 0,   1000, 79",
        "4, 0.99, 0,   1000, 99",
        "5, 0.0,  0,   1000, -1",
        "1, 0.5,  989, 1000, 10",
        "1, 0.5,  990, 1000, -1",
        "1, 0.0,  1000, 1000, -1"
    })
    void nextDelay(int attemptsMade, double jitterRatio, long nowMs, long deadlineMs, long expectedMs) {
        RetryPolicy policy = new RetryPolicy(5, 20, 100);
        assertThat(policy.nextDelayMs(attemptsMade, jitterRatio, nowMs, deadlineMs)
                        .orElse(-1))
                .isEqualTo(expectedMs);
    }

    /** The exponential bound must not overflow after many attempts. */
    @Test
    void delayStaysBoundedAfterManyAttempts() {
        RetryPolicy policy = new RetryPolicy(1_000, 20, 500);
        assertThat(policy.nextDelayMs(900, 0.5, 0, 1_000).getAsLong()).isEqualTo(250);
    }

    /** While all upstreams fail, retries must not exceed the configured fraction of successes. */
    @ParameterizedTest
    @CsvSource({"0, 2", "7, 2", "8, 3", "15, 3", "16, 4", "1000, 4"})
    void budgetAllowsAFractionOfSuccesses(int successes, int expectedRetries) {
        RetryBudget budget = new RetryBudget(0.125, 4);
        while (budget.available() > 2) {
            assertThat(budget.tryAcquire()).isTrue();
        }
        for (int i = 0; i < successes; i++) {
            budget.recordSuccess();
        }
        int retries = 0;
        while (budget.tryAcquire()) {
            retries++;
        }
        assertThat(retries).isEqualTo(expectedRetries);
    }
}
