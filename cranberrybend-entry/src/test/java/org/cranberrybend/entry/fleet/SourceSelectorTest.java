package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
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
