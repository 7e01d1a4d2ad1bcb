package org.cranberrybend.wire.node;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSortedSet;
import java.util.List;
import java.util.Set;
import org.cranberrybend.core.configuration.OfferResult;
import org.cranberrybend.core.configuration.RevocationSet;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;
import org.cranberrybend.wire.Await;
import org.cranberrybend.wire.UnresponsivePeer;
import org.junit.jupiter.api.Test;

class PeerNodeTest {
    private static void awaitMembers(int count, PeerNode... nodes) throws InterruptedException {
        for (PeerNode node : nodes) {
            Await.until(
                    node.self().id() + " lists " + count + " members",
                    () -> node.members().size() == count);
        }
    }

    // Guards against an accepted change that is not replicated to members of other zones.
    @Test
    void acceptedStateReachesAllMembers() throws Exception {
        try (Fleet fleet = new Fleet()) {
            PeerNode first = fleet.start("entry-1", "szeged-a", List.of());
            PeerNode second = fleet.startWithSeed(first, "entry-2", "szeged-a");
            PeerNode third = fleet.startWithSeed(first, "entry-3", "gyor-a");
            awaitMembers(3, first, second, third);

            assertThat(second.offer(Fleet.nextChangeSet(second.state(), "ana"))).isEqualTo(OfferResult.ACCEPTED);
            second.recordStoreRead();
            second.revoke(new RevocationSet(ImmutableSortedSet.of("k1")));
            Upstream engine = new Upstream(
                    "worker-1",
                    "szeged-a",
                    "alfold",
                    "127.0.0.1",
                    1,
                    UpstreamKind.ENGINE,
                    Set.of("stub-writer"),
                    4,
                    Market.GUARANTEED,
                    true,
                    false);
            second.offerUpstreams(List.of(engine), 1);

            for (PeerNode node : List.of(first, third)) {
                Await.until("revision 1", () -> node.state().equals(second.state()));
                Await.until("revocation", () -> node.revocations().contains("k1"));
                Await.until("upstreams", () -> node.upstreams().equals(List.of(engine)));
                Await.until("store read", () -> node.storeConfirmedAgeMs() < Long.MAX_VALUE);
            }
        }
    }

    // Guards against a process that starts while the key-value store is unavailable, does not request the configuration
    // from its peers and therefore never becomes ready.
    @Test
    void restartedNodeRequestsConfigurationFromPeers() throws Exception {
        try (Fleet fleet = new Fleet()) {
            PeerNode first = fleet.start("entry-1", "szeged-a", List.of());
            first.offer(Fleet.nextChangeSet(first.state(), "ana"));
            first.offer(Fleet.nextChangeSet(first.state(), "ana"));
            PeerNode second = fleet.startWithSeed(first, "entry-2", "szeged-a");
            Await.until("configuration", second::hasConfiguration);
            second.stop();

            PeerNode restarted = fleet.startWithSeed(first, "entry-2", "szeged-a");

            Await.until("revision 2", () -> restarted.state().equals(first.state()));
            assertThat(restarted.hasConfiguration()).isTrue();
        }
    }

    // Guards against a stopped process that keeps its shards because the other members still list it as live.
    @Test
    void closedNodeIsDeadForTheOthers() throws Exception {
        try (Fleet fleet = new Fleet()) {
            PeerNode first = fleet.start("entry-1", "szeged-a", List.of());
            PeerNode second = fleet.startWithSeed(first, "entry-2", "szeged-a");
            PeerNode third = fleet.startWithSeed(first, "entry-3", "szeged-a");
            awaitMembers(3, first, second, third);

            third.stop();

            awaitMembers(2, first, second);
            assertThat(first.member("entry-3/router")).isEmpty();
            assertThat(second.member("entry-3/router")).isEmpty();
        }
    }

    // Guards against an unresponsive process that prevents the others from joining each other and replicating state.
    @Test
    void unresponsivePeerDoesNotBlockTheOthers() throws Exception {
        try (Fleet fleet = new Fleet();
                UnresponsivePeer unresponsive = new UnresponsivePeer()) {
            PeerNode first = fleet.start("entry-1", "szeged-a", List.of(unresponsive.address()));
            PeerNode second = fleet.start(
                    "entry-2",
                    "szeged-a",
                    List.of(unresponsive.address(), first.self().peerAddress()));
            awaitMembers(2, first, second);

            first.offer(Fleet.nextChangeSet(first.state(), "ana"));

            Await.until("revision 1", () -> second.state().equals(first.state()));
            Await.until("the unresponsive peer was contacted", () -> unresponsive.acceptedCount() > 1);
        }
    }
}
