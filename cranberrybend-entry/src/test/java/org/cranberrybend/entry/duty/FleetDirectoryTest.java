package org.cranberrybend.entry.duty;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrybend.core.rateshare.RateSlots;
import org.cranberrybend.core.rateshare.SenderRequirement;
import org.cranberrybend.core.rateshare.SenderRoster;
import org.cranberrybend.core.rateshare.SliceRate;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.testing.ForwardingStore;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetDirectoryTest {
    private static final long TICK_MS = 250;

    private final TestClock clock = new TestClock();
    private final MemoryStore store = new MemoryStore(clock);
    private final AtomicInteger renewals = new AtomicInteger();
    private final AtomicInteger grants = new AtomicInteger();
    private boolean followed;
    private final FleetDirectory directory = new FleetDirectory(
            new ForwardingStore(store) {
                @Override
                public CompletableFuture<Long> grantLease(long ttlMs) {
                    grants.incrementAndGet();
                    return super.grantLease(ttlMs);
                }

                @Override
                public CompletableFuture<Void> renewLease(long leaseId) {
                    renewals.incrementAndGet();
                    return super.renewLease(leaseId);
                }
            },
            "own",
            "zone-a",
            Map.of("zone-a", "east", "zone-b", "east", "zone-c", "west"),
            new InetSocketAddress("127.0.0.1", 1),
            500,
            List.of(),
            () -> followed,
            clock,
            new DecisionLog("own", 1, clock, OutputStream.nullOutputStream()));

    private static StoreItem entry(String name, int memoryMb) {
        return entry(name, "zone-a", 2, memoryMb);
    }

    private static StoreItem entry(String name, String zone, int port, int memoryMb) {
        String value =
                "{\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone + "\",\"memory_mb\":" + memoryMb + "}";
        return new StoreItem(FleetKeys.INSTANCES + name, value.getBytes(StandardCharsets.UTF_8), 1, 1, 0);
    }

    // Heartbeats of all upstreams that arrive together, so that a watch returns once in 1.7 s. Guards against a leader
    // that cannot confirm its state to its followers in between, whereupon all of them would watch the store; and
    // against followers that renew as often as the leader.
    @ParameterizedTest
    @CsvSource({"100, 13", "900, 5"})
    void leaderRenewsMoreOftenThanFollowers(int memoryOfOtherMb, int expectedRenewals) {
        directory.tick();
        directory.onSnapshot(new StoreSnapshot(List.of(entry("own", 500), entry("other", memoryOfOtherMb)), 1), 0);
        for (long elapsedMs = 0; elapsedMs < 10_000; elapsedMs += TICK_MS) {
            clock.advance(TICK_MS);
            directory.tick();
        }
        assertThat(renewals.get()).isEqualTo(expectedRenewals);
    }

    // Guards against an instance that others follow, because their leader has lost the store, and that cannot
    // confirm its state to them.
    @Test
    void instanceWithFollowersRenewsAsOftenAsALeader() {
        followed = true;
        directory.tick();
        directory.onSnapshot(new StoreSnapshot(List.of(entry("own", 500), entry("other", 900)), 1), 0);
        for (long elapsedMs = 0; elapsedMs < 10_000; elapsedMs += TICK_MS) {
            clock.advance(TICK_MS);
            directory.tick();
        }
        assertThat(renewals.get()).isEqualTo(13);
    }

    // Guards against instances that all register again at the same time after a restoration of the store: the delay of
    // this one, of 1,200, is longer than the time between its renewals.
    @Test
    void registrationAfterARestorationIsSpread() {
        store.epoch().observe(0);
        List<StoreItem> entries = new ArrayList<>();
        for (int i = 0; i < 1_199; i++) {
            entries.add(entry("other-" + i, 900));
        }
        directory.onSnapshot(new StoreSnapshot(entries, 1), 0);
        directory.tick();
        store.epoch().observe(1);
        clock.advance(2_100);
        directory.tick();
        assertThat(grants.get()).isEqualTo(1);
        clock.advance(1_000);
        directory.tick();
        assertThat(grants.get()).isEqualTo(2);
    }

    // Guards against instances of a zone that choose different ones to read from the store for the others, and against
    // asking across a narrow link between regions before a zone of the same region.
    @Test
    void changesAreAskedForInTheZoneThenInTheRegion() {
        List<StoreItem> entries = List.of(
                entry("own", "zone-a", 1, 500),
                entry("larger", "zone-a", 2, 900),
                entry("smaller", "zone-a", 3, 100),
                entry("region", "zone-b", 4, 100),
                entry("far-1", "zone-c", 5, 300),
                entry("far-2", "zone-c", 6, 200),
                entry("far-3", "zone-c", 7, 100));
        directory.onSnapshot(new StoreSnapshot(entries, 1), 0);
        assertThat(ports(directory.changeSources().preferred())).containsExactly(2);
        assertThat(ports(directory.changeSources().alternatives()))
                .containsExactly(3, 4, 5, 6)
                .inOrder();
        assertThat(ports(directory.regionalAddresses())).containsExactly(2, 3, 4);
        assertThat(directory.zoneLeader().map(InetSocketAddress::getPort)).hasValue(2);
    }

    // Guards against an instance that goes on asking one that has left, or does not ask one that has joined.
    @Test
    void changeSourcesFollowTheRegistrations() {
        directory.onSnapshot(new StoreSnapshot(List.of(entry("own", 500), entry("larger", "zone-a", 2, 900)), 1), 0);
        assertThat(ports(directory.changeSources().preferred())).containsExactly(2);
        StoreItem joined = entry("largest", "zone-a", 3, 950);
        directory.onChange(new StoreChange(joined.key(), 2, Optional.of(joined)));
        assertThat(ports(directory.changeSources().preferred()))
                .containsExactly(3, 2)
                .inOrder();
        directory.onChange(new StoreChange(FleetKeys.INSTANCES + "larger", 3, Optional.empty()));
        assertThat(ports(directory.changeSources().preferred())).containsExactly(3);
    }

    // Guards against instances that all read from the store before they know their own registration.
    @Test
    void unregisteredInstanceAsksTheOthersFirst() {
        directory.onSnapshot(new StoreSnapshot(List.of(entry("other", "zone-a", 2, 100)), 1), 0);
        assertThat(ports(directory.changeSources().preferred())).containsExactly(2);
        assertThat(directory.changeSources().alternatives()).isEmpty();
    }

    private static List<Integer> ports(Collection<InetSocketAddress> addresses) {
        return addresses.stream().map(InetSocketAddress::getPort).toList();
    }

    // Guards against a roster that is not confirmed by each response of the store, or that keeps instances which have
    // left: no or too many instances would send to upstreams that are warming up.
    @Test
    void rosterFollowsTheRegistrations() {
        SliceRate one = new SliceRate(1, 1_001, 1_000);
        RateSlots own = new RateSlots("own", directory.roster(), SenderRequirement.SETTLED);
        RateSlots other = new RateSlots("other", directory.roster(), SenderRequirement.SETTLED);
        directory.onSnapshot(new StoreSnapshot(List.of(entry("own", 500), entry("other", 500)), 1), 0);
        respondFor(SenderRoster.SETTLE_MS);
        boolean ownIsSender = own.isFree("u", one, clock.monotonicMs());
        assertThat(other.isFree("u", one, clock.monotonicMs())).isNotEqualTo(ownIsSender);
        String sender = ownIsSender ? "own" : "other";
        directory.onChange(new StoreChange(FleetKeys.INSTANCES + sender, 2, Optional.empty()));
        respondFor(SenderRoster.SETTLE_MS);
        assertThat(own.isFree("u", one, clock.monotonicMs())).isNotEqualTo(ownIsSender);
        clock.advance(SenderRoster.MAX_AGE_MS + 1);
        assertThat(own.isFree("u", one, clock.monotonicMs())).isFalse();
        assertThat(other.isFree("u", one, clock.monotonicMs())).isFalse();
    }

    private void respondFor(long durationMs) {
        directory.onProgress(1);
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 4_000) {
            clock.advance(4_000);
            directory.onProgress(1);
        }
    }

    // Guards against an instance that is missing although it renews its lease: its first write was executed late, over
    // the second one and under a lease that had expired, so that the store deleted the entry. Also guards against
    // another registration if the entry was written again already.
    @ParameterizedTest
    @CsvSource({"false, 2", "true, 1"})
    void instanceRegistersAgainAfterItsEntryWasDeleted(boolean writtenAgain, int expectedWrites) {
        directory.tick();
        directory.onSnapshot(new StoreSnapshot(List.of(entry("own", 500)), 1), 0);
        directory.onChange(new StoreChange(FleetKeys.INSTANCES + "own", 2, Optional.empty()));
        if (writtenAgain) {
            directory.onChange(new StoreChange(FleetKeys.INSTANCES + "own", 3, Optional.of(entry("own", 500))));
        }
        clock.advance(TICK_MS);
        directory.tick();
        assertThat(store.writes()).isEqualTo(expectedWrites);
    }

    // The store comes back from a copy without some registrations: guards against an instance that does not register
    // again, and against others that count as stopped at once, so that their counts and shares are left out.
    @Test
    void registeredInstancesCountAsRunningUntilTheyCanHaveRegisteredAgain() {
        store.epoch().observe(0);
        directory.tick();
        directory.onSnapshot(new StoreSnapshot(List.of(entry("own", 500), entry("other", 500)), 1), 0);
        MemoryStore.Copy empty = new MemoryStore(clock).copy();
        store.restore(empty);
        directory.onSnapshot(new StoreSnapshot(List.of(), StoreRevision.of(1, 1)), 0);
        assertThat(directory.liveInstances()).containsExactly("own", "other");
        for (long elapsedMs = 0; elapsedMs < 5_000; elapsedMs += TICK_MS) {
            clock.advance(TICK_MS);
            directory.tick();
        }
        assertThat(store.text(FleetKeys.INSTANCES + "own")).isPresent();
        directory.onChange(
                new StoreChange(FleetKeys.INSTANCES + "own", StoreRevision.of(1, 2), Optional.of(entry("own", 500))));
        clock.advance(1_500);
        directory.tick();
        assertThat(directory.liveInstances()).containsExactly("own");
    }
}
