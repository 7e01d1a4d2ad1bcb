package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.util.List;
import org.cranberrybend.core.rateshare.SenderRoster;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.TestClock;
import org.cranberrybend.entry.upstream.SendLimits;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.WarmUpLimiter;
import org.cranberrybend.entry.upstream.WithheldUpstreams;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ServicePausesTest {
    private final TestClock clock = new TestClock();

    // Guards against requests that wait for the end of a warm-up or beyond their deadline, and against a pause that is
    // cut short like a warm-up.
    @ParameterizedTest
    @CsvSource({
        "3000, 0, 30000, 0, false",
        "3000, 0, 30000, 999, false",
        "3000, 0, 30000, 1000, true",
        "3000, 0, 2999, 0, true",
        "0, 3000, 30000, 1000, false",
        "0, 3000, 2999, 0, true",
        "0, 0, 30000, 1000, false"
    })
    void waitIsLimited(long warmUpMs, long pauseMs, long limitMs, long waitedMs, boolean over) {
        DecisionLog log = new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream());
        UpstreamTable table = new UpstreamTable("upstreams/", EntryFixture::record, Connectors.on(null), clock, log);
        byte[] value = ("9 zone-a " + warmUpMs).getBytes();
        table.onSnapshot(new StoreSnapshot(List.of(new StoreItem("upstreams/u", value, 1, 1, 0)), 1), 0);
        if (pauseMs > 0) {
            table.recordPause(table.find("u").get(), pauseMs);
        }
        WarmUpLimiter warmUp = new WarmUpLimiter("instance", new SenderRoster(), 1.5, 5, log);
        warmUp.configure(EntryFixture.configuration());
        WithheldUpstreams withheld = new WithheldUpstreams(table, new SendLimits(warmUp), clock);
        ServicePauses pauses = new ServicePauses("work", withheld, clock);
        long endMs = clock.monotonicMs() + limitMs;
        boolean firstOver = pauses.outlast(endMs, each -> true);
        clock.advance(waitedMs);
        assertThat(firstOver || pauses.isLimitedWaitOver()).isEqualTo(over);
        assertThat(pauses.outlast(endMs, each -> true)).isEqualTo(over);
    }
}
