package org.cranberrybend.core.event;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.cranberrybend.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TimelineMergerTest {
    private static TimelineEntry entry(String member, HybridTimestamp timestamp, long sequence) {
        return new TimelineEntry(401, "REQUEST_ACCEPTED", "INFO", timestamp, member, 1, "a", sequence, "r", Map.of());
    }

    // An effect must not be listed before its cause because of clock skew.
    @ParameterizedTest
    @ValueSource(longs = {-30_000, 0, 30_000})
    void receiptFollowsSendingDespiteClockSkew(long skewMs) {
        HybridClock sender = new HybridClock(new ManualTimeSource(100_000));
        HybridClock receiver = new HybridClock(new ManualTimeSource(100_000 + skewMs));
        TimelineEntry sent = entry("x/router", sender.tick(), 1);
        TimelineEntry received = entry("y/router", receiver.observe(sent.timestamp()), 1);
        TimelineEntry answered = entry("x/router", sender.observe(receiver.tick()), 2);

        assertThat(TimelineMerger.merge(List.of(answered, received, sent), TimelineFilter.ALL))
                .containsExactly(sent, received, answered)
                .inOrder();
    }

    // One wrong clock must not advance the timestamps of the whole fleet.
    @Test
    void implausibleRemoteTimestampIsIgnored() {
        HybridClock clock = new HybridClock(new ManualTimeSource(100_000));

        HybridTimestamp timestamp = clock.observe(new HybridTimestamp(100_000 + HybridClock.MAX_OFFSET_MS + 1, 0));

        assertThat(timestamp.wallMs()).isEqualTo(100_000);
    }

    // A timeline must not look complete if a process has dropped events.
    @Test
    void missingSequenceNumbersAreReported() {
        List<TimelineEntry> entries = List.of(
                entry("x/router", new HybridTimestamp(1, 0), 3), entry("x/router", new HybridTimestamp(2, 0), 4));

        assertThat(TimelineMerger.gaps(entries)).containsExactly(new TimelineMerger.Gap("x/router", 1, 2));
    }
}
