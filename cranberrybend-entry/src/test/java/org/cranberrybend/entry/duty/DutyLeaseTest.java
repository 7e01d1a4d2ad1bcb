package org.cranberrybend.entry.duty;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.util.Optional;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.DutyGrant;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DutyLeaseTest {
    private static final long TAKEOVER_DELAY_MS = 3_000;
    private static final long TICK_MS = 250;

    private final TestClock clock = new TestClock();
    private final MemoryStore store = new MemoryStore(clock);
    private final DutyLease first = lease("instance-a");
    private final DutyLease second = lease("instance-b");

    private DutyLease lease(String instance) {
        DecisionLog log = new DecisionLog(instance, 1, clock, OutputStream.nullOutputStream());
        return new DutyLease(store, instance, TAKEOVER_DELAY_MS, clock, log);
    }

    private void run(DutyLease lease, long ms) {
        for (long passed = 0; passed < ms; passed += TICK_MS) {
            lease.tick(store.text(FleetKeys.HOLDER).isPresent());
            clock.advance(TICK_MS);
        }
    }

    private DutyGrant acquire(DutyLease lease) {
        run(lease, 3_000);
        Optional<DutyGrant> grant = lease.grant();
        assertThat(grant).isPresent();
        return grant.get();
    }

    // Guards against a takeover delay of the first holder, which has no predecessor.
    @Test
    void firstHolderHasNoTakeoverDelay() {
        first.tick(false);
        assertThat(first.grant()).isPresent();
    }

    // Guards against two holders at the same time: the second must get no grant while the first one renews.
    @Test
    void onlyOneInstanceHoldsTheLease() {
        acquire(first);
        for (int i = 0; i < 40; i++) {
            first.tick(true);
            second.tick(false);
            clock.advance(TICK_MS);
            assertThat(second.grant()).isEmpty();
        }
        assertThat(first.grant()).isPresent();
    }

    // Guards against calls of a holder whose lease may have expired at the store.
    @Test
    void holderThatCannotRenewStopsBeforeItsLeaseEnds() {
        acquire(first);
        store.setDown(true);
        run(first, 1_750);
        assertThat(first.grant()).isEmpty();
        store.setDown(false);
        assertThat(store.text(FleetKeys.HOLDER)).hasValue("instance-a");
    }

    // Guards against a successor with a smaller or equal fencing number.
    @Test
    void fencingNumberGrowsWithEachHolder() {
        long firstNumber = acquire(first).fencingNumber();
        clock.advance(5_000);
        long secondNumber = acquire(second).fencingNumber();
        assertThat(secondNumber).isGreaterThan(firstNumber);
    }

    // Guards against alternating holders: an instance that held the lease before its predecessor must wait.
    @Test
    void alternatingHolderWaitsForTakeoverDelay() {
        acquire(first);
        clock.advance(5_000);
        acquire(second);
        clock.advance(2_700);
        while (store.text(FleetKeys.HOLDER).isEmpty()) {
            first.tick(false);
            clock.advance(TICK_MS);
        }
        for (long waited = 0; waited < TAKEOVER_DELAY_MS; waited += TICK_MS) {
            first.tick(true);
            assertThat(first.grant()).isEmpty();
            clock.advance(TICK_MS);
        }
        run(first, 1_500);
        assertThat(first.grant()).isPresent();
    }

    // Guards against calls of a process that was suspended: its monotonic clock did not count that time.
    @Test
    void clockShiftEndsLease() {
        acquire(first);
        clock.shiftWall(4_000);
        assertThat(first.grant()).isEmpty();
    }

    // Guards against a call in flight while the successor makes calls: the lease ends only after the call.
    @Test
    void releasedLeaseEndsAfterLastCall() {
        acquire(first);
        first.release();
        assertThat(first.grant()).isEmpty();
        first.tick(true);
        assertThat(store.text(FleetKeys.HOLDER)).hasValue("instance-a");
        clock.advance(1_000);
        first.tick(true);
        assertThat(store.text(FleetKeys.HOLDER)).isEmpty();
    }

    // Guards against a lease without a holder, beyond its duration, after an acquisition whose response was lost.
    @Test
    void acquisitionWithUnknownOutcomeGrantsNothing() {
        store.loseReplies(1, false);
        first.tick(false);
        assertThat(first.grant()).isEmpty();
        assertThat(store.text(FleetKeys.HOLDER)).isEmpty();
        clock.advance(3_000);
        run(first, 3_000);
        assertThat(first.grant()).isPresent();
    }

    // The store comes back from a copy without the lease, and another instance learns of it first: guards against
    // calls of both holders, and against a fencing number that was used before.
    @Test
    void firstHolderOfARestoredStoreWaitsUntilTheEarlierOneHasStopped() {
        MemoryStore.Copy copy = store.copy();
        long lost = acquire(first).fencingNumber();
        store.restore(copy);
        assertThat(first.grant()).isEmpty();
        second.tick(false);
        for (long waitedMs = 0; waitedMs < TAKEOVER_DELAY_MS; waitedMs += TICK_MS) {
            second.tick(true);
            assertThat(second.grant()).isEmpty();
            clock.advance(TICK_MS);
        }
        run(second, 1_500);
        assertThat(second.grant().get().fencingNumber()).isGreaterThan(lost);
    }

    // Guards against seconds without a holder, in which usage windows are missed, although the one that held the lease
    // until the restoration may go on at once: with its own entry in the copy, or without one.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void holderUntilTheRestorationContinuesAtOnce(boolean listedInCopy) {
        MemoryStore.Copy empty = store.copy();
        long lost = acquire(first).fencingNumber();
        store.restore(listedInCopy ? store.copy() : empty);
        first.tick(true);
        assertThat(first.grant().get().fencingNumber()).isGreaterThan(lost);
        assertThat(first.wasHeldUntilThisEpoch()).isTrue();
    }

    // Guards against an earlier holder that takes itself for the last one after its successor has lost the lease, too.
    @Test
    void earlierHolderDoesNotContinueAfterItsSuccessor() {
        acquire(first);
        clock.advance(5_000);
        run(first, TICK_MS);
        MemoryStore.Copy copy = store.copy();
        acquire(second);
        store.restore(copy);
        assertThat(first.wasHeldUntilThisEpoch()).isFalse();
        assertThat(second.wasHeldUntilThisEpoch()).isTrue();
    }
}
