package org.cranberrybend.entry.store;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.testing.ForwardingStore;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.TestClock;
import org.cranberrybend.entry.testing.TimedScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A watch of a store that gives no response to the calls of some time, also after its return. */
class SilentStoreTest {
    private static final String KEY = "p/a";
    private static final long CALL_TIMEOUT_MS = 1_500;
    private static final long RESPONSE_MS = 4;
    private static final long CALM_MS = 10_000;
    private static final long PHASE_STEP_MS = 50;

    /** The store as one instance reaches it: calls that begin in the silence fail at their time limit only. */
    private static final class SilentStore extends ForwardingStore {
        private record Watch(long afterRevision, CompletableFuture<StoreChanges> response) {}

        private final TimedScheduler loop;
        private final TestClock clock;
        private final List<Watch> watches = new ArrayList<>();
        private boolean silent;
        private long revision = 1;

        SilentStore(TimedScheduler loop, TestClock clock) {
            super(new MemoryStore(clock));
            this.loop = loop;
            this.clock = clock;
        }

        /** Begins the silence; the watches in progress get no response either. */
        void beginSilence() {
            silent = true;
            watches.clear();
        }

        /** Ends the silence with a change, which is acknowledged at this moment. */
        void returnWithChange() {
            silent = false;
            revision++;
            List<Watch> waiting = new ArrayList<>(watches);
            watches.clear();
            waiting.forEach(each -> respond(each.response, changes()));
        }

        private StoreItem item() {
            return new StoreItem(KEY, new byte[0], revision, 1, 0);
        }

        private StoreChanges changes() {
            return new StoreChanges(List.of(new StoreChange(KEY, revision, Optional.of(item()))), revision);
        }

        private <T> void respond(CompletableFuture<T> call, T value) {
            Runnable response = () -> call.complete(value);
            loop.schedule(response, RESPONSE_MS, TimeUnit.MILLISECONDS);
        }

        private <T> CompletableFuture<T> failing(long timeoutMs) {
            CompletableFuture<T> call = new CompletableFuture<>();
            failLater(call, timeoutMs);
            return call;
        }

        private void failLater(CompletableFuture<?> call, long timeoutMs) {
            Runnable failure =
                    () -> call.completeExceptionally(new StoreException(StoreException.Kind.UNKNOWN, "no response"));
            loop.schedule(failure, timeoutMs, TimeUnit.MILLISECONDS);
        }

        @Override
        public CompletableFuture<StoreSnapshot> list(String prefix) {
            if (silent) {
                return failing(CALL_TIMEOUT_MS);
            }
            CompletableFuture<StoreSnapshot> call = new CompletableFuture<>();
            respond(call, new StoreSnapshot(List.of(item()), revision));
            return call;
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMs) {
            if (silent) {
                return failing(waitMs + WATCH_MARGIN_MS);
            }
            CompletableFuture<StoreChanges> call = new CompletableFuture<>();
            failLater(call, waitMs + WATCH_MARGIN_MS);
            if (afterRevision < revision) {
                respond(call, changes());
                return call;
            }
            Watch watch = new Watch(afterRevision, call);
            watches.add(watch);
            loop.schedule(() -> endHold(watch), waitMs, TimeUnit.MILLISECONDS);
            return call;
        }

        private void endHold(Watch watch) {
            if (watches.remove(watch)) {
                respond(watch.response, new StoreChanges(List.of(), revision));
            }
        }
    }

    // Guards against a configuration, or the leaving of an upstream, that is known later than the bound after a silent
    // outage of the store, because a call from the end of the outage is waited for first.
    @ParameterizedTest
    @CsvSource({"4000, 0", "4000, 500", "5000, 0", "5000, 800", "5000, 1000"})
    void changeAfterASilenceIsKnownWithinTheBound(long contactMs, long batchDelayMs) {
        long holdMs = PrefixWatch.holdMs(contactMs, batchDelayMs);
        for (long silenceMs : new long[] {1, 300, 1_200, 2_200, 3_000, 6_000}) {
            for (long phaseMs = 0; phaseMs <= holdMs + PHASE_STEP_MS; phaseMs += PHASE_STEP_MS) {
                long delayMs = delayOfTheChange(holdMs, batchDelayMs, phaseMs, silenceMs, contactMs);
                assertWithMessage("silence of %s ms, %s ms after the start", silenceMs, CALM_MS + phaseMs)
                        .that(delayMs)
                        .isAtMost(contactMs);
            }
        }
    }

    /** Returns the time from the end of the silence until the change is known; more than the limit if it is not. */
    private static long delayOfTheChange(long holdMs, long batchDelayMs, long phaseMs, long silenceMs, long limitMs) {
        TestClock clock = new TestClock();
        TimedScheduler loop = new TimedScheduler(clock);
        SilentStore store = new SilentStore(loop, clock);
        long[] knownMs = {Long.MAX_VALUE};
        PrefixWatch watch = new PrefixWatch(store, "p/", holdMs, batchDelayMs, loop, clock, new PrefixWatch.Listener() {
            @Override
            public void onSnapshot(StoreSnapshot snapshot, long outageMs) {
                record(snapshot.items().get(0));
            }

            @Override
            public void onChange(StoreChange change) {
                record(change.item().get());
            }

            private void record(StoreItem item) {
                if (item.revision() > 1) {
                    knownMs[0] = Math.min(knownMs[0], clock.monotonicMs());
                }
            }

            @Override
            public void onProgress(long revision) {
                // Only the change matters.
            }

            @Override
            public void onStoreUnavailable(String cause) {
                // Only the change matters.
            }
        });
        watch.start();
        loop.runUntil(clock.monotonicMs() + CALM_MS + phaseMs);
        store.beginSilence();
        loop.runUntil(clock.monotonicMs() + silenceMs);
        store.returnWithChange();
        long endMs = clock.monotonicMs();
        loop.runUntil(endMs + 2 * limitMs);
        loop.shutdownNow();
        return knownMs[0] == Long.MAX_VALUE ? Long.MAX_VALUE : knownMs[0] - endMs;
    }
}
