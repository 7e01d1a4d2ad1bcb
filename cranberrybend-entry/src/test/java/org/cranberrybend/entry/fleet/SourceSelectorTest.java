package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cranberrybend.entry.duty.ChangeSources;
import org.cranberrybend.entry.fleet.SourceSelector.Source;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.Test;

/** The order in which an instance asks others and the store. */
class SourceSelectorTest {
    private static final InetSocketAddress LEADER = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress DEPUTY = new InetSocketAddress("127.0.0.1", 2);
    private static final InetSocketAddress OTHER_ZONE = new InetSocketAddress("127.0.0.1", 3);
    private static final long SHORT_MS = 1_500;
    private static final long LONG_MS = 10_000;

    private final TestClock clock = new TestClock();
    private final SourceSelector selector =
            new SourceSelector(() -> new ChangeSources(List.of(LEADER, DEPUTY), List.of(OTHER_ZONE)), clock);

    /** Returns the sources of a read that each of them fails. */
    private List<Source> order() {
        Set<Source> tried = new HashSet<>();
        List<Source> order = new ArrayList<>();
        Optional<Source> next = selector.next(tried);
        while (next.isPresent()) {
            order.add(next.get());
            tried.add(next.get());
            next = selector.next(tried);
        }
        return order;
    }

    // Guards against followers that all read from the store because their leader has lost it.
    @Test
    void instancesBeforeThisOneAreAskedBeforeTheStore() {
        selector.pauseUnresponsive(LEADER, true);
        assertThat(order())
                .containsExactly(Source.of(DEPUTY), Source.STORE, Source.of(OTHER_ZONE))
                .inOrder();
    }

    // Guards against an instance without the store that keeps an old state while other instances have the newest one.
    @Test
    void otherInstancesAreAskedBeforeAStoreThatHasFailed() {
        selector.pauseStore();
        assertThat(order())
                .containsExactly(Source.of(LEADER), Source.of(DEPUTY), Source.of(OTHER_ZONE))
                .inOrder();
    }

    // Guards against followers that all read from the store at the end of an outage, at the same time as their leader.
    @Test
    void refusingLeaderIsAskedBeforeEachReadOfTheStore() {
        for (InetSocketAddress each : List.of(LEADER, DEPUTY, OTHER_ZONE)) {
            selector.pauseRefusing(each);
        }
        assertThat(order()).containsExactly(Source.of(LEADER), Source.STORE).inOrder();
        selector.pauseStore();
        assertThat(order()).containsExactly(Source.of(LEADER));
    }

    // Guards against an outage that is not noticed to have ended: nothing is asked because everything has failed.
    @Test
    void storeIsAskedIfTheLeaderIsUnresponsive() {
        selector.pauseUnresponsive(LEADER, false);
        selector.pauseRefusing(DEPUTY);
        selector.pauseRefusing(OTHER_ZONE);
        selector.pauseStore();
        assertThat(order()).containsExactly(Source.STORE);
    }

    // Guards against a leader that asks the store of an outage less often than it could.
    @Test
    void leaderAsksTheStoreInEachRead() {
        SourceSelector ofLeader = new SourceSelector(() -> new ChangeSources(List.of(), List.of(OTHER_ZONE)), clock);
        ofLeader.pauseStore();
        ofLeader.pauseRefusing(OTHER_ZONE);
        assertThat(ofLeader.next(Set.of())).hasValue(Source.STORE);
    }

    // Guards against an instance that does not ask its leader for seconds after an outage that both have noticed.
    @Test
    void instancesAreAskedAgainSoonWhileTheStoreIsAway() {
        selector.pauseUnresponsive(LEADER, true);
        selector.pauseStore();
        clock.advance(SHORT_MS);
        assertThat(order().get(0)).isEqualTo(Source.of(LEADER));
    }

    // Guards against a read that ends without the store in a zone with more instances than it asks, and against
    // followers that all turn to the store in an outage for that reason.
    @Test
    void readThatHasAskedEnoughTurnsToTheStoreIfThatIsDue() {
        Set<Source> tried = Set.of(Source.of(LEADER), Source.of(DEPUTY));
        assertThat(selector.storeIfDue(tried)).hasValue(Source.STORE);
        selector.pauseStore();
        assertThat(selector.storeIfDue(tried)).isEmpty();
        selector.pauseUnresponsive(LEADER, false);
        assertThat(selector.storeIfDue(tried)).hasValue(Source.STORE);
    }

    // Guards against an instance that goes on without the store after the store has responded to it again.
    @Test
    void storeIsAskedOnceItHasResponded() {
        selector.pauseStore();
        selector.resumeStore();
        assertThat(order())
                .containsExactly(Source.of(LEADER), Source.of(DEPUTY), Source.STORE, Source.of(OTHER_ZONE))
                .inOrder();
    }

    // Guards against followers of a leader that was killed that wait for it a second time before they read from the
    // store.
    @Test
    void onlyRefusingInstancesAreAskedAgainAfterADelay() {
        selector.pauseUnresponsive(LEADER, true);
        selector.pauseRefusing(DEPUTY);
        selector.resumeRefusing();
        assertThat(order())
                .containsExactly(Source.of(DEPUTY), Source.STORE, Source.of(OTHER_ZONE))
                .inOrder();
    }

    // Guards against instances of a zone that all read from the store at the same moment, and against one that
    // waits for longer than its bounds allow.
    @Test
    void instancesReadFromTheStoreOneAfterTheOther() {
        assertThat(selector.storeDelayMs()).isEqualTo(200);
        assertThat(withInstancesBefore(0).storeDelayMs()).isEqualTo(0);
        assertThat(withInstancesBefore(85).storeDelayMs()).isEqualTo(800);
    }

    private SourceSelector withInstancesBefore(int count) {
        List<InetSocketAddress> before = Collections.nCopies(count, LEADER);
        return new SourceSelector(() -> new ChangeSources(before, List.of()), clock);
    }

    // Guards against sources that are left out for good after one failure.
    @Test
    void pausesEnd() {
        selector.pauseUnresponsive(LEADER, true);
        selector.pauseStore();
        clock.advance(LONG_MS);
        assertThat(order())
                .containsExactly(Source.of(LEADER), Source.of(DEPUTY), Source.STORE, Source.of(OTHER_ZONE))
                .inOrder();
    }
}
