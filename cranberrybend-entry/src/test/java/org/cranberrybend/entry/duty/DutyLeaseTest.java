package org.cranberrybend.entry.duty;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.util.Optional;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.DutyStamp;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.Test;

class DutyLeaseTest {
    private static final long ALTERNATION_MS = 3_000;
    private static final long TICK_MS = 250;

    private final TestClock clock = new TestClock();
    private final MemoryStore store = new MemoryStore(clock);
    private final DutyLease first = lease("instance-a");
    private final DutyLease second = lease("instance-b");

    private DutyLease lease(String instance) {
        DecisionLog log = new DecisionLog(instance, 1, clock, OutputStream.nullOutputStream());
        return new DutyLease(store, instance, ALTERNATION_MS, clock, log);
    }

    private void run(DutyLease lease, long ms) {
        for (long passed = 0; passed < ms; passed += TICK_MS) {
            lease.tick(store.text(FleetKeys.HOLDER).isPresent());
            clock.advance(TICK_MS);
        }
    }

    private DutyStamp acquired(DutyLease lease) {
        run(lease, 3_000);
        Optional<DutyStamp> stamp = lease.stamp();
        assertThat(stamp).isPresent();
        return stamp.get();
    }

    // Guards against an idle fleet: a first holder has nobody to wait for.
    @Test
    void firstHolderActsAtOnce() {
        first.tick(false);
        assertThat(first.stamp()).isPresent();
    }

    // Guards against two holders at the same time: the second must not act while the first one renews.
    @Test
    void onlyOneInstanceHoldsTheLease() {
        acquired(first);
        for (int i = 0; i < 40; i++) {
            first.tick(true);
            second.tick(false);
            clock.advance(TICK_MS);
            assertThat(second.stamp()).isEmpty();
        }
        assertThat(first.stamp()).isPresent();
    }

    // Guards against a holder that acts after its lease may have ended at the store.
    @Test
    void holderThatCannotRenewStopsBeforeItsLeaseEnds() {
        acquired(first);
        store.setDown(true);
        run(first, 1_750);
        assertThat(first.stamp()).isEmpty();
        store.setDown(false);
        assertThat(store.text(FleetKeys.HOLDER)).hasValue("instance-a");
    }

    // Guards against a successor with a smaller or equal fencing number.
    @Test
    void fencingNumberGrowsWithEachHolder() {
        long firstNumber = acquired(first).fencingNumber();
        clock.advance(5_000);
        long secondNumber = acquired(second).fencingNumber();
        assertThat(secondNumber).isGreaterThan(firstNumber);
    }

    // Guards against holders that alternate: an instance that held the lease before its predecessor waits.
    @Test
    void instanceThatHeldTheLeaseBeforeItsPredecessorWaits() {
        acquired(first);
        clock.advance(5_000);
        acquired(second);
        clock.advance(2_700);
        while (store.text(FleetKeys.HOLDER).isEmpty()) {
            first.tick(false);
            clock.advance(TICK_MS);
        }
        for (long waited = 0; waited < ALTERNATION_MS; waited += TICK_MS) {
            first.tick(true);
            assertThat(first.stamp()).isEmpty();
            clock.advance(TICK_MS);
        }
        run(first, 1_500);
        assertThat(first.stamp()).isPresent();
    }

    // Guards against calls of a process that was suspended: its monotonic clock did not count the time.
    @Test
    void shiftOfTheClocksEndsTheLease() {
        acquired(first);
        clock.shiftWall(4_000);
        assertThat(first.stamp()).isEmpty();
    }

    // Guards against a call in flight while the successor acts: the lease is given back only after it has ended.
    @Test
    void releasedLeaseIsGivenBackAfterTheLastCall() {
        acquired(first);
        first.release();
        assertThat(first.stamp()).isEmpty();
        first.tick(true);
        assertThat(store.text(FleetKeys.HOLDER)).hasValue("instance-a");
        clock.advance(1_000);
        first.tick(true);
        assertThat(store.text(FleetKeys.HOLDER)).isEmpty();
    }

    // Guards against a lost reply that leaves a lease without a holder for longer than the lease lasts.
    @Test
    void lostReplyOfTheAcquisitionGivesNoStampAndEnds() {
        store.loseReplies(1, false);
        first.tick(false);
        assertThat(first.stamp()).isEmpty();
        assertThat(store.text(FleetKeys.HOLDER)).isEmpty();
        clock.advance(3_000);
        run(first, 3_000);
        assertThat(first.stamp()).isPresent();
    }
}
