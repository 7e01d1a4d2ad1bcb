package org.cranberrybend.entry.duty;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.DutyException;
import org.cranberrybend.entry.port.DutyGrant;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.testing.ForwardingStore;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.TestClock;
import org.cranberrybend.entry.usage.SteadyWallClock;
import org.cranberrybend.entry.usage.UsageCounter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Instances that perform the usage duty while the store comes back from older copies, is away, or is not reached by some of
 * them, and while instances end. Each instance learns of a restoration only with its own next call.
 */
class RestoredStoreFuzzTest {
    private static final long WINDOW_MS = 5_000;
    private static final long DUE_MS = 10_000;
    private static final long LEASE_MS = 3_000;
    private static final long TICK_MS = 250;
    private static final int INSTANCES = 3;
    private static final int STEPS = 800;
    /** Copies kept, one for each tick: the oldest is 10 s old. */
    private static final int MAX_COPIES = 40;

    private record Report(String holder, long fencingNumber, long atMs) {}

    private final TestClock clock = new TestClock();
    private final MemoryStore store = new MemoryStore(clock);
    private final Map<Long, Map<String, Long>> reportedCounts = new HashMap<>();
    private final List<Report> reports = new ArrayList<>();
    private Random random;
    private String history = "";

    /** The store as one instance reaches it. */
    private final class View extends ForwardingStore {
        private final StoreEpoch epoch = new StoreEpoch();
        private boolean cut;

        View() {
            super(store);
        }

        @Override
        public StoreEpoch epoch() {
            return epoch;
        }

        private <T> CompletableFuture<T> reach(java.util.function.Supplier<CompletableFuture<T>> call) {
            if (cut) {
                return CompletableFuture.failedFuture(new StoreException(StoreException.Kind.NOT_DONE, "cut off"));
            }
            if (!store.isDown()) {
                epoch.observe(store.epoch().current());
            }
            return call.get();
        }

        @Override
        public CompletableFuture<Optional<StoreItem>> get(String key) {
            return reach(() -> super.get(key));
        }

        @Override
        public CompletableFuture<StoreSnapshot> list(String prefix) {
            return reach(() -> super.list(prefix));
        }

        @Override
        public CompletableFuture<Long> write(StoreWrite write) {
            return reach(() -> super.write(write));
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMs) {
            return reach(() -> super.grantLease(ttlMs));
        }

        @Override
        public CompletableFuture<Void> renewLease(long leaseId) {
            return reach(() -> super.renewLease(leaseId));
        }

        @Override
        public CompletableFuture<Void> endLease(long leaseId) {
            return reach(() -> super.endLease(leaseId));
        }
    }

    private final class Instance {
        private final String name;
        private final View view = new View();
        private final UsageCounter counter = new UsageCounter(WINDOW_MS, new SteadyWallClock(clock));
        private final UsageFlusher flusher;
        private final DutyLease lease;
        private final UsageDuty duty;

        Instance(String name) {
            this.name = name;
            DecisionLog log = new DecisionLog(name, 1, clock, OutputStream.nullOutputStream());
            flusher = new UsageFlusher(
                    view::write, view::write, counter, name, clock.wallMs(), () -> INSTANCES, view.epoch(), clock);
            lease = new DutyLease(view, name, LEASE_MS, clock, log);
            duty = new UsageDuty(
                    view, this::report, lease, new SteadyWallClock(clock), WINDOW_MS, DUE_MS, () -> Set.of(), log);
        }

        private CompletableFuture<Void> report(DutyGrant grant, long window, Map<String, Long> counts) {
            checkReport(grant, window, counts);
            return random.nextInt(4) == 0
                    ? CompletableFuture.failedFuture(new DutyException(DutyException.Kind.UNKNOWN, "lost"))
                    : CompletableFuture.completedFuture(null);
        }

        void tick() {
            if (random.nextBoolean()) {
                counter.recordStart("alpha");
            }
            flusher.tick();
            lease.tick(!view.cut && store.text(FleetKeys.HOLDER).isPresent());
            duty.tick();
        }
    }

    private void checkReport(DutyGrant grant, long window, Map<String, Long> counts) {
        Map<String, Long> before = reportedCounts.putIfAbsent(window, Map.copyOf(counts));
        if (before != null) {
            assertWithMessage("window %s reported again:%s", window, history)
                    .that(counts)
                    .isEqualTo(before);
        }
        for (Report earlier : reports) {
            assertWithMessage("fencing numbers:%s", history)
                    .that(grant.fencingNumber())
                    .isAtLeast(earlier.fencingNumber);
            if (grant.fencingNumber() == earlier.fencingNumber) {
                assertWithMessage("holder of %s:%s", grant.fencingNumber(), history)
                        .that(grant.holder())
                        .isEqualTo(earlier.holder);
            }
        }
        checkAlternation(grant.holder());
        reports.add(new Report(grant.holder(), grant.fencingNumber(), clock.monotonicMs()));
    }

    private void checkAlternation(String holder) {
        boolean other = false;
        for (int i = reports.size() - 1; i >= 0; i--) {
            Report earlier = reports.get(i);
            other |= !earlier.holder.equals(holder);
            if (other && earlier.holder.equals(holder)) {
                assertWithMessage("%s alternates:%s", holder, history)
                        .that(clock.monotonicMs() - earlier.atMs)
                        .isAtLeast(LEASE_MS);
                return;
            }
        }
    }

    private void note(String what) {
        history += "\n  " + clock.monotonicMs() + " " + what;
    }

    // Guards against two reports of a window with other counts, fencing numbers that fall or have two holders, and
    // holders that alternate, whatever the order of restorations, outages, cuts and ends of instances.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noRestorationMakesTwoHoldersOrTwoReports(long seed) {
        random = new Random(seed);
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(new Instance("instance-" + i));
        }
        Deque<MemoryStore.Copy> copies = new ArrayDeque<>();
        for (int step = 0; step < STEPS; step++) {
            copies.addLast(store.copy());
            if (copies.size() > MAX_COPIES) {
                copies.removeFirst();
            }
            disturb(instances, copies);
            instances.forEach(Instance::tick);
            clock.advance(TICK_MS);
        }
        assertWithMessage("seed %s", seed).that(reportedCounts.size()).isAtLeast(5);
    }

    private void disturb(List<Instance> instances, Deque<MemoryStore.Copy> copies) {
        Instance one = instances.get(random.nextInt(INSTANCES));
        switch (random.nextInt(120)) {
            case 0:
                MemoryStore.Copy copy = new ArrayList<>(copies).get(random.nextInt(copies.size()));
                store.setDown(false);
                store.restore(copy);
                note("restored");
                break;
            case 1:
                store.setDown(!store.isDown());
                note("down " + store.isDown());
                break;
            case 2:
            case 3:
                one.view.cut = !one.view.cut;
                note(one.name + " cut " + one.view.cut);
                break;
            case 4:
                instances.set(instances.indexOf(one), new Instance(one.name));
                note(one.name + " restarted");
                break;
            case 5:
                store.loseReplies(1, false);
                break;
            default:
                break;
        }
    }
}
