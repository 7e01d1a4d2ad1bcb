package org.cranberrybend.entry.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.cranberrybend.core.rateshare.LimitBound;
import org.cranberrybend.core.rateshare.SenderRoster;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What an instance knows of the rate limits of upstreams, from their responses and from other instances. */
class RateLimitsTest {
    private static final String PREFIX = "upstreams/";
    private static final double NONE = Double.POSITIVE_INFINITY;

    private final TestClock clock = new TestClock();
    private final DecisionLog log = new DecisionLog("own", 1, clock, new ByteArrayOutputStream());
    private final UpstreamTable table =
            new UpstreamTable(PREFIX, RateLimitsTest::decode, Connectors.on(null), clock, log);
    private final RateLimits limits = table.rateLimits();
    private long revision;

    /** Decodes a value that is the start of the process. */
    private static UpstreamRecord decode(String id, byte[] value) {
        return new UpstreamRecord(
                id,
                "service",
                new InetSocketAddress("127.0.0.1", 9),
                "z1",
                8,
                false,
                Market.GUARANTEED,
                Long.parseLong(new String(value)),
                0);
    }

    @BeforeEach
    void listUpstream() {
        list(1);
    }

    private void list(long startedAtMs) {
        revision++;
        byte[] value = Long.toString(startedAtMs).getBytes();
        StoreItem item = new StoreItem(PREFIX + "u", value, revision, 1, 0);
        table.onSnapshot(new StoreSnapshot(List.of(item), revision), 0);
    }

    private Upstream upstream() {
        return table.find("u").get();
    }

    private double rate() {
        RateLimit limit = upstream().rateLimit();
        return limit.isInForce(clock.monotonicMs()) ? limit.requestsPerS() : NONE;
    }

    // Guards against an older statement that replaces a later one, from whichever instance it comes.
    @ParameterizedTest
    @CsvSource({"2000, 1, 3", "500, 1, 1", "500, Infinity, Infinity", "2000, Infinity, 3"})
    void latestStatementHolds(long ageMs, double reportedPerS, double expectedPerS) {
        limits.recordLimit(upstream(), 3);
        clock.advance(1_000);
        limits.merge(List.of(new RateLimitReport("u", 1, reportedPerS, ageMs)));
        assertThat(rate()).isEqualTo(expectedPerS);
    }

    // Guards against the end of a limit because of a response that was on its way when the limit began.
    @ParameterizedTest
    @CsvSource({"-1, 3", "0, Infinity", "1, Infinity"})
    void onlyALaterRequestShowsThatThereIsNoLimit(long sentAfterMs, double expectedPerS) {
        long statedMs = clock.monotonicMs();
        limits.recordLimit(upstream(), 3);
        clock.advance(10);
        limits.recordNoLimit(upstream(), statedMs + sentAfterMs);
        assertThat(rate()).isEqualTo(expectedPerS);
    }

    // Guards against a limit of another instance that is ignored because a response of before it has arrived here
    // since.
    @ParameterizedTest
    @CsvSource({"10, 3", "30, Infinity"})
    void responseCountsFromTheSendingOfItsRequest(long reportAgeMs, double expectedPerS) {
        clock.advance(1_000);
        long sentMs = clock.monotonicMs() - 20;
        limits.recordNoLimit(upstream(), sentMs);
        limits.merge(List.of(new RateLimitReport("u", 1, 3, reportAgeMs)));
        assertThat(rate()).isEqualTo(expectedPerS);
    }

    // Guards against the limit of a process that is applied to its successor, and against one that is forgotten because
    // the entry of its upstream expired for a while.
    @Test
    void limitBelongsToTheProcess() {
        limits.recordLimit(upstream(), 3);
        list(2);
        assertThat(rate()).isEqualTo(NONE);
        table.onSnapshot(new StoreSnapshot(List.of(), ++revision), 0);
        list(1);
        assertThat(rate()).isEqualTo(3.0);
    }

    // Guards against a limit that nobody has received for long and that keeps an upstream from all requests.
    @Test
    void unconfirmedLimitExpires() {
        limits.recordLimit(upstream(), 0);
        clock.advance(59_999);
        assertThat(rate()).isEqualTo(0.0);
        clock.advance(1);
        assertThat(rate()).isEqualTo(NONE);
        assertThat(limits.reports()).isEmpty();
    }

    // Guards against instances that go on with a limit that another one has seen to end.
    @Test
    void endIsReportedForAWhile() {
        limits.recordLimit(upstream(), 3);
        limits.recordNoLimit(upstream(), clock.monotonicMs());
        assertThat(limits.reports()).containsExactly(new RateLimitReport("u", 1, NONE, 0));
        clock.advance(30_000);
        assertThat(limits.reports()).isEmpty();
    }

    // Guards against refusing the requests of an instance that the store has not listed again since an outage.
    @Test
    void shareRemainsWhileTheListIsNotConfirmed() {
        SenderRoster roster = new SenderRoster();
        RateLimiter limiter = new RateLimiter("own", roster, new LimitBound(4_000, 1.5, 5));
        limits.recordLimit(upstream(), 3);
        assertThat(limiter.admissionMs(upstream(), clock.monotonicMs())).isEqualTo(Long.MAX_VALUE);
        roster.confirm(Set.of("own"), clock.monotonicMs());
        clock.advance(3_000);
        assertThat(limiter.admits(upstream(), clock.monotonicMs())).isTrue();
        clock.advance(50_000);
        assertThat(limiter.admits(upstream(), clock.monotonicMs())).isTrue();
    }

    // Guards against instances that all have no share after an outage in which their registrations have expired.
    @ParameterizedTest
    @CsvSource({"0, true", "23999, true", "24000, false"})
    void shareRemainsForAWhileAfterTheRegistrationExpired(long elapsedMs, boolean admitted) {
        SenderRoster roster = new SenderRoster();
        RateLimiter limiter = new RateLimiter("own", roster, new LimitBound(4_000, 1.5, 5));
        limits.recordLimit(upstream(), 3);
        roster.confirm(Set.of("own"), clock.monotonicMs());
        clock.advance(3_000);
        roster.confirm(Set.of(), clock.monotonicMs());
        clock.advance(elapsedMs);
        roster.confirm(Set.of(), clock.monotonicMs());
        assertThat(limiter.admits(upstream(), clock.monotonicMs())).isEqualTo(admitted);
    }
}
