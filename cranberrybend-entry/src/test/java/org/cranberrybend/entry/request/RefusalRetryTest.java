package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.statusOf;

import java.util.TreeMap;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RefusalRetryTest {
    private static final int REQUESTS = 800;
    /** Bounds of the time that is stated if the end of the reason is unknown. */
    private static final long MIN_MS = 400;

    private static final long MAX_MS = 800;
    private static final int PARTS = 8;

    private static double retryAfterMs(EntryFixture entry, String attempt) throws Exception {
        try (RawCaller caller = entry.caller()) {
            String answer =
                    caller.send(request("POST", "/once/x", attempt, "order")).readUntil("}}");
            assertThat(statusOf(answer)).isEqualTo("503");
            assertThat(answer).contains("\"run_state\":\"not_run\"");
            return 1_000 * Double.parseDouble(answer.replaceAll("(?s).*Retry-After: ([0-9.]+).*", "$1"));
        }
    }

    // Guards against callers that are refused together and return together.
    @Test
    void refusedCallersAreToldDifferentTimes() throws Exception {
        TreeMap<Double, Integer> times = new TreeMap<>();
        try (EntryFixture entry = new EntryFixture()) {
            for (int i = 0; i < 20; i++) {
                times.merge(retryAfterMs(entry, "order-" + i), 1, Integer::sum);
            }
        }
        assertThat(times.firstKey()).isAtLeast((double) MIN_MS);
        assertThat(times.lastKey()).isAtMost((double) MAX_MS);
        assertThat(times.size()).isAtLeast(10);
    }

    // Guards against identifiers that differ little, as those of one client library do, and get nearly the same time.
    @ParameterizedTest
    @ValueSource(strings = {"%d", "order-%d", "%d-order", "%016x", "a%032d"})
    void timesAreEvenlySpreadByIdentifier(String pattern) {
        int[] counts = new int[PARTS];
        for (int i = 0; i < REQUESTS; i++) {
            long retryAfterMs = ErrorResponse.retryAfterUnknownEndMs(String.format(pattern, i));
            assertThat(retryAfterMs).isAtLeast(MIN_MS);
            assertThat(retryAfterMs).isAtMost(MAX_MS);
            counts[(int) Math.min(PARTS - 1, (retryAfterMs - MIN_MS) * PARTS / (MAX_MS - MIN_MS))]++;
        }
        for (int count : counts) {
            assertThat(count).isAtLeast(REQUESTS / PARTS / 2);
            assertThat(count).isAtMost(REQUESTS / PARTS * 2);
        }
    }
}
