package org.cranberrybend.core.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Retries must not outlive the deadline, exceed the attempts, or multiply load. */
class RetryPolicyTest {
    /** Guards against a backoff outside its bounds and against an attempt that begins at or after the deadline. */
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

    /** Guards against an overflow of the exponential bound after many attempts. */
    @Test
    void delayStaysBoundedAfterManyAttempts() {
        RetryPolicy policy = new RetryPolicy(1_000, 20, 500);
        assertThat(policy.nextDelayMs(900, 0.5, 0, 1_000).getAsLong()).isEqualTo(250);
    }

    /** Guards against retries beyond the fraction of successes while all upstreams fail. */
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
