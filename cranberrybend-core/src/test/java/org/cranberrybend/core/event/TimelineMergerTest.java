package org.cranberrybend.core.event;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.cranberrybend.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TimelineMergerTest {
    private static TimelineEntry entry(String member, HybridTimestamp stamp, long sequence) {
        return new TimelineEntry(401, "REQUEST_ACCEPTED", "INFO", stamp, member, 1, "a", sequence, "r", Map.of());
    }

    // Guards against a time line in which an effect stands before its cause because one clock is wrong.
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

    // Guards against one broken clock that moves the stamps of the whole fleet.
    @Test
    void implausibleRemoteStampIsNotFollowed() {
        HybridClock clock = new HybridClock(new ManualTimeSource(100_000));

        HybridTimestamp stamp = clock.observe(new HybridTimestamp(100_000 + HybridClock.MAX_LEAD_MS + 1, 0));

        assertThat(stamp.wallMs()).isEqualTo(100_000);
    }

    // Guards against a time line that looks complete although a process has dropped events.
    @Test
    void missingSequenceNumbersAreReported() {
        List<TimelineEntry> entries = List.of(
                entry("x/router", new HybridTimestamp(1, 0), 3), entry("x/router", new HybridTimestamp(2, 0), 4));

        assertThat(TimelineMerger.gaps(entries)).containsExactly(new TimelineMerger.Gap("x/router", 1, 2));
    }
}
