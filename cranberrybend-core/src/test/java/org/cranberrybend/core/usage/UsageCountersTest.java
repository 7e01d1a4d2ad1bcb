package org.cranberrybend.core.usage;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** No usage may be lost before two receivers hold it. */
class UsageCountersTest {
    private static final UsageKey KEY = new UsageKey("clerk", "quick", "model-a");
    private static final UsageTotals ONE = new UsageTotals(1, 7, 4);

    /** Guards against usage in the wrong window and against figures that are not cumulative. */
    @Test
    void countsByWindow() {
        UsageCounters counters = new UsageCounters();
        counters.add(59_999, KEY, ONE);
        counters.add(60_000, KEY, ONE);
        counters.add(119_999, KEY, ONE);
        List<UsageCounters.Snapshot> pending = counters.pendingFor("a");
        assertThat(pending.stream().map(UsageCounters.Snapshot::startMs)).containsExactly(0L, 60_000L);
        assertThat(pending.get(1).totals()).containsExactly(KEY, new UsageTotals(2, 14, 8));
    }

    /** Guards against an acknowledgement that covers usage counted after the flush was sent. */
    @Test
    void lateAcknowledgementLeavesNewerFiguresPending() {
        UsageCounters counters = new UsageCounters();
        counters.add(0, KEY, ONE);
        long version = counters.pendingFor("a").get(0).version();
        counters.add(1, KEY, ONE);
        counters.acknowledge("a", 0, version);
        assertThat(counters.pendingFor("a")).hasSize(1);
        counters.acknowledge("a", 0, version + 1);
        counters.acknowledge("a", 0, version);
        assertThat(counters.pendingFor("a")).isEmpty();
        assertThat(counters.pendingFor("b")).hasSize(1);
    }

    /** Guards against sending a whole window each second, and against leaving out a key that a receiver lacks. */
    @Test
    void sendsOnlyKeysChangedSinceAcknowledgement() {
        UsageKey other = new UsageKey("counter", "quick", "model-a");
        UsageCounters counters = new UsageCounters();
        counters.add(0, KEY, ONE);
        counters.acknowledge("a", 0, counters.pendingFor("a").get(0).version());
        counters.add(1, other, ONE);
        assertThat(counters.pendingFor("a").get(0).totals()).containsExactly(other, ONE);
        counters.add(2, KEY, ONE);
        UsageTotals two = new UsageTotals(2, 14, 8);
        assertThat(counters.pendingFor("a").get(0).totals()).containsExactly(other, ONE, KEY, two);
        assertThat(counters.pendingFor("b").get(0).totals()).containsExactly(other, ONE, KEY, two);
    }

    /** Guards against dropping a window that is recent or that only one receiver holds. */
    @Test
    void dropsOnlyOldWindowsHeldByTwo() {
        UsageCounters counters = new UsageCounters();
        counters.add(0, KEY, ONE);
        long version = counters.pendingFor("a").get(0).version();
        counters.acknowledge("a", 0, version);
        assertThat(counters.evictAcknowledged(UsageCounters.RETENTION_MS + 1)).isEqualTo(0);
        counters.acknowledge("b", 0, version);
        assertThat(counters.evictAcknowledged(UsageCounters.RETENTION_MS)).isEqualTo(0);
        assertThat(counters.evictAcknowledged(UsageCounters.RETENTION_MS + 1)).isEqualTo(1);
        assertThat(counters.windowCount()).isEqualTo(0);
    }
}
