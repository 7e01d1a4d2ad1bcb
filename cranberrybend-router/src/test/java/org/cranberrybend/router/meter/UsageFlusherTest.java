package org.cranberrybend.router.meter;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.core.usage.UsageKey;
import org.cranberrybend.core.usage.UsageTotals;
import org.cranberrybend.router.FakeProcess;
import org.cranberrybend.wire.generated.UsageWindowCounters;
import org.junit.jupiter.api.Test;

/** Usage is delivered to two controllers of the zone. */
class UsageFlusherTest {
    private static final UsageKey KEY = new UsageKey("clerk", "quick", "model-a");

    private final ManualTimeSource timeSource = new ManualTimeSource(60_000);
    private final FakeProcess process = new FakeProcess();
    private final UsageMeter meter = new UsageMeter(timeSource);
    private final UsageFlusher flusher = new UsageFlusher(meter, process, process);

    private List<String> receivers() {
        List<String> receivers =
                process.sent.stream().map(each -> each.getSender()).toList();
        process.sent.clear();
        return receivers;
    }

    /** Guards against lost usage: counters are sent again, cumulatively, until they are acknowledged. */
    @Test
    void sendsUntilBothControllersAcknowledged() {
        process.members.add(FakeProcess.member("entry-1", "controller", 1));
        process.members.add(FakeProcess.member("entry-2", "controller", 1));
        process.members.add(FakeProcess.member("entry-3", "controller", 1));
        meter.count(KEY, new UsageTotals(1, 7, 4));
        process.acknowledging = false;
        flusher.flush().join();
        assertThat(receivers()).containsExactly("entry-1:1", "entry-2:1");
        meter.count(KEY, new UsageTotals(1, 7, 4));
        process.acknowledging = true;
        flusher.flush().join();
        UsageWindowCounters window = process.sent.get(0).getUsageFlush().getWindows(0);
        assertThat(window.getWindowStartMs()).isEqualTo(60_000);
        assertThat(window.getCounters(0).getRequests()).isEqualTo(2);
        assertThat(window.getCounters(0).getOutputTokens()).isEqualTo(8);
        assertThat(receivers()).hasSize(2);
        flusher.flush().join();
        assertThat(receivers()).isEmpty();
    }

    /** Guards against a restarted or replaced controller that is not sent the retained windows. */
    @Test
    void replacedControllerReceivesEveryKeptWindow() {
        process.members.add(FakeProcess.member("entry-1", "controller", 1));
        meter.count(KEY, new UsageTotals(1, 7, 4));
        flusher.flush().join();
        assertThat(receivers()).containsExactly("entry-1:1");
        timeSource.advanceMs(600_000);
        process.members.set(1, FakeProcess.member("entry-1", "controller", 2));
        process.members.add(FakeProcess.member("entry-2", "controller", 1));
        flusher.flush().join();
        assertThat(receivers()).containsExactly("entry-1:1", "entry-2:1");
        process.members.set(1, FakeProcess.member("entry-4", "controller", 1));
        flusher.flush().join();
        assertThat(receivers()).isEmpty();
    }
}
