package org.cranberrybend.entry.duty;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.DutyException;
import org.cranberrybend.entry.port.DutyGrant;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.port.UsageReports;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.TestClock;
import org.cranberrybend.entry.usage.SteadyWallClock;
import org.cranberrybend.entry.usage.UsageCounter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UsageDutyTest {
    private static final long WINDOW_MS = 5_000;
    private static final long DUE_MS = 10_000;
    private static final long TICK_MS = 250;

    private record Report(long window, Map<String, Long> counts) {}

    private final TestClock clock = new TestClock();
    private final MemoryStore store = new MemoryStore(clock);
    private final List<Report> reports = new ArrayList<>();
    private final Set<String> live = new HashSet<>(Set.of("instance-a"));
    private boolean loseReportReplies;
    private int instances = 1;

    /** One incarnation of an instance. */
    private final class Incarnation {
        private final UsageCounter counter = new UsageCounter(WINDOW_MS, new SteadyWallClock(clock));
        private final UsageFlusher flusher;
        private final DutyLease lease;
        private final UsageDuty duty;

        Incarnation(String instance, long incarnation) {
            DecisionLog log = new DecisionLog(instance, incarnation, clock, OutputStream.nullOutputStream());
            flusher = new UsageFlusher(
                    store::write, store::write, counter, instance, incarnation, () -> instances, store.epoch(), clock);
            lease = new DutyLease(store, instance, 3_000, clock, log);
            UsageReports platform = this::report;
            duty = new UsageDuty(
                    store, platform, lease, new SteadyWallClock(clock), WINDOW_MS, DUE_MS, () -> live, log);
        }

        private CompletableFuture<Void> report(DutyGrant grant, long window, Map<String, Long> counts) {
            reports.add(new Report(window, Map.copyOf(counts)));
            return loseReportReplies
                    ? CompletableFuture.failedFuture(new DutyException(DutyException.Kind.UNKNOWN, "lost"))
                    : CompletableFuture.completedFuture(null);
        }

        void tick() {
            flusher.tick();
            lease.tick(store.text(FleetKeys.HOLDER).isPresent());
            duty.tick();
        }
    }

    private void run(long ms, Incarnation... runs) {
        for (long passed = 0; passed < ms; passed += TICK_MS) {
            for (Incarnation each : runs) {
                each.tick();
            }
            clock.advance(TICK_MS);
        }
    }

    private long reportedOf(long window, String account) {
        return reports.stream()
                .filter(report -> report.window == window)
                .map(report -> report.counts.getOrDefault(account, 0L))
                .reduce((one, other) -> other)
                .orElse(-1L);
    }

    // Guards against a window that is reported late, twice, or with the counts of one instance only.
    @Test
    void windowIsReportedOnceWithTheCountsOfAllInstances() {
        live.add("instance-b");
        Incarnation a = new Incarnation("instance-a", 1);
        Incarnation b = new Incarnation("instance-b", 1);
        run(500, a, b);
        long window = a.counter.currentWindow();
        a.counter.recordStart("alpha");
        a.counter.recordStart("alpha");
        b.counter.recordStart("alpha");
        run(WINDOW_MS + DUE_MS - 1_000, a, b);
        assertThat(reports.stream().filter(report -> report.window == window).count())
                .isEqualTo(1);
        assertThat(reportedOf(window, "alpha")).isEqualTo(3);
    }

    // Guards against two reports of one window with different totals after a lost response.
    @Test
    void repeatedReportHasSealedTotals() {
        Incarnation a = new Incarnation("instance-a", 1);
        run(500, a);
        long window = a.counter.currentWindow();
        a.counter.recordStart("alpha");
        loseReportReplies = true;
        run(WINDOW_MS + 3_000, a);
        a.flusher.flushNow();
        run(2_000, a);
        Set<Map<String, Long>> totals = new HashSet<>();
        reports.stream().filter(report -> report.window == window).forEach(report -> totals.add(report.counts));
        assertThat(reports.size()).isGreaterThan(1);
        assertThat(totals).containsExactly(Map.of("alpha", 1L));
    }

    // Guards against the loss of all counts of an instance that was killed within a window.
    @Test
    void countsOfKilledInstanceAreReported() {
        live.add("instance-b");
        Incarnation a = new Incarnation("instance-a", 1);
        Incarnation b = new Incarnation("instance-b", 1);
        run(500, a, b);
        long window = a.counter.currentWindow();
        b.counter.recordStart("alpha");
        run(1_750, a, b);
        run(WINDOW_MS + DUE_MS, a);
        assertThat(reportedOf(window, "alpha")).isEqualTo(1);
    }

    // Guards against a delayed write that overwrites newer counts with older ones.
    @Test
    void delayedWriteDoesNotReduceCounts() {
        Incarnation a = new Incarnation("instance-a", 1);
        run(500, a);
        long window = a.counter.currentWindow();
        a.counter.recordStart("alpha");
        store.loseReplies(1, true);
        run(2_000, a);
        a.counter.recordStart("alpha");
        run(1_750, a);
        store.runDelayedWrites();
        run(WINDOW_MS + DUE_MS, a);
        assertThat(reportedOf(window, "alpha")).isEqualTo(2);
    }

    // Guards against a successor that reports other totals than its predecessor sealed.
    @Test
    void successorReportsTotalsSealedByPredecessor() {
        Incarnation a = new Incarnation("instance-a", 1);
        run(500, a);
        long window = a.counter.currentWindow();
        a.counter.recordStart("alpha");
        loseReportReplies = true;
        run(WINDOW_MS + 2_500, a);
        loseReportReplies = false;
        live.clear();
        live.add("instance-b");
        Incarnation b = new Incarnation("instance-b", 1);
        b.counter.recordStart("alpha");
        run(12_000, b);
        Set<Map<String, Long>> totals = new HashSet<>();
        reports.stream().filter(report -> report.window == window).forEach(report -> totals.add(report.counts));
        assertThat(totals).containsExactly(Map.of("alpha", 1L));
    }

    // Guards against counts of a large fleet that accumulate in the store: one write can delete only some of them.
    @Test
    void countsOfAllInstancesAreDeletedAfterTheReport() {
        Incarnation a = new Incarnation("instance-a", 1);
        run(500, a);
        long window = a.counter.currentWindow();
        a.counter.recordStart("alpha");
        for (int i = 0; i < 70; i++) {
            byte[] value = "{\"counts\":{\"alpha\":1},\"complete\":true}".getBytes();
            store.write(StoreWrite.put(FleetKeys.counts(window, "other-" + i, 1, 0), value));
        }
        run(WINDOW_MS + DUE_MS, a);
        assertThat(reportedOf(window, "alpha")).isEqualTo(71);
        assertThat(store.keys(FleetKeys.countsPrefix(window))).isEmpty();
    }

    private void assertOneReportOfEachWindow() {
        Map<Long, Map<String, Long>> counts = new HashMap<>();
        for (Report report : reports) {
            assertThat(counts.getOrDefault(report.window, report.counts)).isEqualTo(report.counts);
            counts.put(report.window, report.counts);
        }
    }

    private void runUnderLoad(long ms, Incarnation... runs) {
        for (long passed = 0; passed < ms; passed += TICK_MS) {
            for (Incarnation each : runs) {
                each.counter.recordStart("alpha");
            }
            run(TICK_MS, runs);
        }
    }

    // The store comes back from a copy without a report that was sent: guards against a second one with other
    // counts, by the instance that held the lease, or by another one after it has ended.
    @ParameterizedTest
    @CsvSource({"true, 1000", "true, 4000", "true, 9000", "false, 1000", "false, 4000", "false, 9000"})
    void windowIsNotReportedAgainAfterARestoration(boolean holderContinues, long copyAgeMs) {
        live.add("instance-b");
        Incarnation a = new Incarnation("instance-a", 1);
        Incarnation b = new Incarnation("instance-b", 1);
        runUnderLoad(2 * WINDOW_MS, a, b);
        runUnderLoad(WINDOW_MS + 3_000, a, b);
        MemoryStore.Copy copy = store.copy();
        runUnderLoad(copyAgeMs, a, b);
        store.restore(copy);
        if (!holderContinues) {
            live.remove("instance-a");
        }
        Incarnation[] running = holderContinues ? new Incarnation[] {a, b} : new Incarnation[] {b};
        runUnderLoad(6 * WINDOW_MS, running);
        assertOneReportOfEachWindow();
        long last = b.counter.currentWindow() - 3;
        assertThat(reportedOf(last, "alpha")).isEqualTo(running.length * WINDOW_MS / TICK_MS);
    }

    // Guards against writes of counts that grow with the fleet beyond the rate limit of the store.
    @Test
    void instanceOfLargeFleetWritesOncePerWindow() {
        instances = 65;
        Incarnation a = new Incarnation("instance-a", 1);
        run(2 * WINDOW_MS, a);
        int before = store.writes();
        for (int i = 0; i < 3 * WINDOW_MS / TICK_MS; i++) {
            a.counter.recordStart("alpha");
            a.flusher.tick();
            clock.advance(TICK_MS);
        }
        assertThat(store.writes() - before).isAtMost(4);
    }

    // Guards against a call in each tick while writes fail: failed calls are billed too.
    @Test
    void failedWritesAreRetriedWithBackoff() {
        Incarnation a = new Incarnation("instance-a", 1);
        run(2 * WINDOW_MS, a);
        a.counter.recordStart("alpha");
        store.setDown(true);
        int before = store.writes();
        for (int i = 0; i < 8_000 / TICK_MS; i++) {
            a.flusher.tick();
            clock.advance(TICK_MS);
        }
        assertThat(store.writes() - before).isAtMost(8);
    }
}
