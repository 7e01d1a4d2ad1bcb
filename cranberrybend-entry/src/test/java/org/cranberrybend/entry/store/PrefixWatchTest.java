package org.cranberrybend.entry.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.testing.ManualScheduler;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PrefixWatchTest {
    private final TestClock clock = new TestClock();
    private final Deque<CompletableFuture<StoreSnapshot>> lists = new ArrayDeque<>();
    private final Deque<CompletableFuture<StoreChanges>> watches = new ArrayDeque<>();
    private final List<String> calls = new ArrayList<>();
    private final List<Long> holdTimesMs = new ArrayList<>();
    private final AtomicBoolean failingChange = new AtomicBoolean();
    private boolean needsSnapshot = true;
    private final ManualScheduler loop = new ManualScheduler();

    private final StoreEpoch epoch = new StoreEpoch();

    private final KeyValueStore store = new KeyValueStore() {
        @Override
        public StoreEpoch epoch() {
            return epoch;
        }

        @Override
        public CompletableFuture<Optional<StoreItem>> get(String key) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<StoreSnapshot> list(String prefix) {
            lists.add(new CompletableFuture<>());
            return lists.getLast();
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMs) {
            calls.add("watch after " + afterRevision);
            holdTimesMs.add(waitMs);
            watches.add(new CompletableFuture<>());
            return watches.getLast();
        }

        @Override
        public CompletableFuture<Long> write(StoreWrite write) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMs) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> renewLease(long leaseId) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> endLease(long leaseId) {
            return new CompletableFuture<>();
        }
    };

    private final PrefixWatch watch = new PrefixWatch(store, "p/", 2_100, 0, loop, clock, new PrefixWatch.Listener() {
        @Override
        public void onSnapshot(StoreSnapshot snapshot, long outageMs) {
            calls.add("snapshot at " + snapshot.revision() + " outage " + outageMs);
        }

        @Override
        public void onChange(StoreChange change) {
            calls.add("change at " + change.revision());
            if (failingChange.getAndSet(false)) {
                throw new IllegalStateException("unexpected");
            }
        }

        @Override
        public void onProgress(long revision) {
            calls.add("progress " + revision);
        }

        @Override
        public boolean needsSnapshotAfterOutage() {
            return needsSnapshot;
        }

        @Override
        public void onStoreUnavailable(String cause) {
            calls.add("unavailable");
        }
    });

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    private static <T> void fail(CompletableFuture<T> call, StoreException.Kind kind) {
        call.completeExceptionally(new StoreException(kind, kind.name()));
    }

    /** Reads a snapshot at revision 5 and fails the watch that follows; the next call is then made. */
    private void loseStoreAfterASnapshot() {
        watch.start();
        lists.poll().complete(new StoreSnapshot(List.of(), 5));
        fail(watches.poll(), StoreException.Kind.UNKNOWN);
        loop.runNext();
    }

    // Guards against missed changes between the snapshot and the first watch.
    @Test
    void watchStartsAtSnapshotRevision() {
        watch.start();
        lists.poll().complete(new StoreSnapshot(List.of(), 5));
        watches.poll().complete(new StoreChanges(List.of(new StoreChange("p/a", 7, Optional.empty())), 8));
        assertThat(calls)
                .containsExactly(
                        "snapshot at 5 outage 0",
                        "progress 5",
                        "watch after 5",
                        "change at 7",
                        "progress 8",
                        "watch after 8")
                .inOrder();
    }

    // Guards against a watch that continues although the store has discarded changes that it had not sent.
    @Test
    void lostHistoryTriggersNewSnapshot() {
        watch.start();
        lists.poll().complete(new StoreSnapshot(List.of(), 5));
        fail(watches.poll(), StoreException.Kind.HISTORY_LOST);
        lists.poll().complete(new StoreSnapshot(List.of(), 9));
        assertThat(calls).contains("snapshot at 9 outage 0");
        assertThat(calls.get(calls.size() - 1)).isEqualTo("watch after 9");
    }

    // Guards against snapshots that are read one after the other without a pause, because they come from an
    // instance that is behind the one that is watched.
    @Test
    void repeatedlyLostHistoryIsReadAgainAfterADelay() {
        watch.start();
        lists.poll().complete(new StoreSnapshot(List.of(), 5));
        fail(watches.poll(), StoreException.Kind.HISTORY_LOST);
        lists.poll().complete(new StoreSnapshot(List.of(), 5));
        fail(watches.poll(), StoreException.Kind.HISTORY_LOST);
        assertThat(lists).isEmpty();
        loop.runNext();
        assertThat(lists).hasSize(1);
    }

    // Guards against a watch that ends for good because one change caused an unexpected error.
    @Test
    void watchContinuesWithASnapshotAfterAnUnexpectedError() {
        watch.start();
        lists.poll().complete(new StoreSnapshot(List.of(), 5));
        failingChange.set(true);
        watches.poll().complete(new StoreChanges(List.of(new StoreChange("p/a", 7, Optional.empty())), 8));
        loop.runNext();
        lists.poll().complete(new StoreSnapshot(List.of(), 9));
        assertThat(calls.get(calls.size() - 1)).isEqualTo("watch after 9");
    }

    // Guards against an outage without a new snapshot: expired entries could not be distinguished from deleted ones.
    @Test
    void outageIsReportedOnceAndEndsWithSnapshot() {
        loseStoreAfterASnapshot();
        clock.advance(4_000);
        fail(lists.poll(), StoreException.Kind.NOT_DONE);
        loop.runNext();
        lists.poll().complete(new StoreSnapshot(List.of(), 6));
        assertThat(calls.stream().filter("unavailable"::equals).count()).isEqualTo(1);
        assertThat(calls).contains("snapshot at 6 outage 4000");
    }

    // Guards against an instance that reads all changes of an outage before the snapshot that replaces them: a history
    // of a large configuration fills the link on which the newest version should arrive.
    @Test
    void changesOfAnOutageAreNotReadBeforeTheSnapshot() {
        loseStoreAfterASnapshot();
        lists.poll().complete(new StoreSnapshot(List.of(), 9));
        assertThat(calls)
                .containsExactly(
                        "snapshot at 5 outage 0",
                        "progress 5",
                        "watch after 5",
                        "unavailable",
                        "snapshot at 9 outage 0",
                        "progress 9",
                        "watch after 9")
                .inOrder();
    }

    // Guards against a snapshot of keys whose few changes say the same: on a narrow link to the store, the changes of a
    // configuration came 2 s later for the snapshots of all instances.
    @Test
    void changesAfterAnOutageNeedNoSnapshot() {
        needsSnapshot = false;
        loseStoreAfterASnapshot();
        watches.poll().complete(new StoreChanges(List.of(new StoreChange("p/a", 7, Optional.empty())), 8));
        assertThat(calls)
                .containsExactly(
                        "snapshot at 5 outage 0",
                        "progress 5",
                        "watch after 5",
                        "unavailable",
                        "watch after 5",
                        "change at 7",
                        "progress 8",
                        "watch after 8")
                .inOrder();
        assertThat(lists).isEmpty();
    }

    // Guards against an instance that has an old state for one more hold time after a silent connection has failed.
    @Test
    void watchAfterAFailureIsNotHeld() {
        needsSnapshot = false;
        loseStoreAfterASnapshot();
        watches.poll().complete(new StoreChanges(List.of(), 6));
        assertThat(holdTimesMs).containsExactly(2_100L, 1L, 2_100L).inOrder();
    }

    // Guards against a watch on a silent connection that fails later than the changes must be known, and against more
    // billed calls than the bound needs.
    @ParameterizedTest
    @CsvSource({"4000, 0, 2100", "4000, 500, 1600", "5000, 0, 3100", "5000, 1000, 2100", "9000, 0, 4000", "1000, 0, 500"
    })
    void holdTimeFollowsFromTheBound(long contactMs, long batchDelayMs, long expectedHoldMs) {
        assertThat(PrefixWatch.holdMs(contactMs, batchDelayMs)).isEqualTo(expectedHoldMs);
    }

    // Guards against a process that started in an outage, and removes the upstreams that its peers still use because
    // their entries expired before its start.
    @Test
    void outageAtTheStartIsOfUnknownLength() {
        watch.start();
        fail(lists.poll(), StoreException.Kind.NOT_DONE);
        loop.runNext();
        lists.poll().complete(new StoreSnapshot(List.of(), 6));
        assertThat(calls).contains("snapshot at 6 outage " + PrefixWatch.UNKNOWN_OUTAGE_MS);
    }

    // The store comes back from an older copy while a watch is lost, and another call shows it: guards against
    // waiting for the end of the watch, and against applying what it still returns.
    @Test
    void snapshotIsReadAsSoonAsAnyCallShowsARestoration() {
        epoch.observe(0);
        watch.start();
        lists.poll().complete(new StoreSnapshot(List.of(), 7));
        epoch.observe(1);
        assertThat(lists).hasSize(1);
        watches.poll().complete(new StoreChanges(List.of(), 8));
        long restored = StoreRevision.of(1, 3);
        lists.poll().complete(new StoreSnapshot(List.of(), restored));
        assertThat(calls)
                .containsExactly(
                        "snapshot at 7 outage 0",
                        "progress 7",
                        "watch after 7",
                        "snapshot at " + restored + " outage 0",
                        "progress " + restored,
                        "watch after " + restored)
                .inOrder();
    }
}
