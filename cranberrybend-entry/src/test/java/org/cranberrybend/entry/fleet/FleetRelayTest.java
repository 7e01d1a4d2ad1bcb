package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.duty.PeerDirectory;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.MessageMemoryLimit;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.upstream.UpstreamRecord;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.ZoneEvacuations;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetRelayTest {
    private static final ServerLimits LIMITS = new ServerLimits(8_192, 1_000_000, 2_000, 5_000);
    private static final String PREFIX = "upstreams/";
    private static final String COUNTS_KEY = "cranberrybend/usage/counts/000000000007/b/1/0";
    private static final long WAIT_S = 10;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final TimeSource timeSource = TimeSource.system();
    private final DecisionLog log = new DecisionLog("test", 1, timeSource, OutputStream.nullOutputStream());
    private final Set<InetSocketAddress> peers = new LinkedHashSet<>();
    private final Set<InetSocketAddress> nearPeers = new LinkedHashSet<>();
    private boolean operatorWatchUnavailable;
    private boolean storeUnavailable;
    private Optional<InetSocketAddress> leader = Optional.empty();
    private final PeerDirectory directory = new PeerDirectory() {
        @Override
        public Set<InetSocketAddress> peerAddresses() {
            return peers;
        }

        @Override
        public Set<InetSocketAddress> regionalAddresses() {
            return nearPeers;
        }

        @Override
        public Optional<InetSocketAddress> zoneLeader() {
            return leader;
        }
    };
    private final Instance connected = new Instance();
    private final Instance cutOff = new Instance();

    /** The state of one instance. */
    private final class Instance {
        private final MemoryStore store = new MemoryStore(timeSource);
        private final ConfigurationHolder configuration = new ConfigurationHolder(
                (name, value) -> new RoutingConfiguration(
                        Long.parseLong(new String(value)), List.of(), List.of(), Map.of(), false, LIMITS),
                log);
        private final UpstreamTable upstreams = new UpstreamTable(
                PREFIX,
                (id, value) -> new UpstreamRecord(
                        id,
                        "work",
                        new InetSocketAddress("127.0.0.1", 9),
                        "zone-a",
                        4,
                        new String(value).equals("leaving"),
                        Market.GUARANTEED,
                        1,
                        0),
                Connectors.on(loop),
                timeSource,
                log);
        private final ZoneEvacuations evacuations = new ZoneEvacuations(log);
        private final FleetRelay relay = new FleetRelay(
                loop,
                Connectors.on(loop),
                store,
                configuration,
                upstreams,
                evacuations,
                () -> operatorWatchUnavailable || upstreams.isStoreUnavailable(),
                () -> storeUnavailable || upstreams.isStoreUnavailable(),
                directory,
                timeSource,
                log,
                WAIT_S * 1_000);

        void read(long version, long revision, StoreItem... items) {
            configuration.offer("store", Long.toString(version).getBytes());
            upstreams.onSnapshot(new StoreSnapshot(List.of(items), revision), 0);
            upstreams.onProgress(revision);
        }

        void evacuate(long revision, String... zones) {
            evacuations.offer("store", new ZoneEvacuations.State(Set.of(zones), revision));
        }
    }

    @BeforeEach
    void startInstances() throws Exception {
        HttpServer control =
                new HttpServer(loop, timeSource, connected.relay, () -> LIMITS, new MessageMemoryLimit(1_000_000), log);
        peers.add((InetSocketAddress) control.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress());
        onLoop(() -> {
            connected.read(7, 20, item("a", "leaving", 15), item("b", "ready", 12));
            cutOff.read(5, 10, item("a", "ready", 3), item("c", "ready", 4));
            return null;
        });
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 10, TimeUnit.MILLISECONDS);
    }

    private static StoreItem item(String id, String state, long revision) {
        return new StoreItem(PREFIX + id, state.getBytes(), revision, revision, 0);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(WAIT_S, TimeUnit.SECONDS);
    }

    private String state() {
        StringBuilder state = new StringBuilder("version " + cutOff.configuration.version());
        cutOff.upstreams.all().forEach(each -> state.append(' ')
                .append(each.entry().id())
                .append(each.entry().leaving() ? "-" : "+"));
        return state.toString();
    }

    // Guards against an instance without access to the store that misses a revoked key or a leaving upstream.
    @Test
    void instanceWithoutStoreTakesStateFromPeers() throws Exception {
        onLoop(() -> {
            cutOff.upstreams.onStoreUnavailable("unavailable");
            cutOff.relay.tick();
            return null;
        });
        String expected = "version 7 a- b+";
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (!onLoop(this::state).equals(expected) && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        assertThat(onLoop(this::state)).isEqualTo(expected);
    }

    // Guards against an instance that keeps a withdrawn key because the watch of the operator's keys receives nothing,
    // while that of the upstreams works.
    @Test
    void eachWatchWithoutChangesIsAReasonToAskPeers() throws Exception {
        onLoop(() -> {
            operatorWatchUnavailable = true;
            cutOff.relay.tick();
            return null;
        });
        awaitConfiguration();
    }

    // Guards against instances that all ask others across a narrow link between regions, although one of their own
    // region knows the newest state.
    @Test
    void instancesOfTheRegionAreAsked() throws Exception {
        onLoop(() -> {
            nearPeers.addAll(peers);
            peers.clear();
            operatorWatchUnavailable = true;
            cutOff.relay.tick();
            return null;
        });
        awaitConfiguration();
    }

    private void awaitConfiguration() throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (onLoop(() -> cutOff.configuration.version()) != 7 && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        assertThat(onLoop(() -> cutOff.configuration.version())).isEqualTo(7);
    }

    // Guards against an instance without access to the store that misses the start or the end of an evacuation, and
    // against older knowledge of a peer, or of a peer of an earlier version, that takes either back.
    @ParameterizedTest
    @CsvSource({
        "'', 10, zone-a, 20, zone-a",
        "zone-a, 10, '', 20, ''",
        "zone-a, 10, zone-b, 20, zone-b",
        "zone-a, 20, '', 10, zone-a",
        "'', 20, zone-a, 10, ''",
        "zone-a, 20, '', -1, zone-a",
        "'', -1, zone-a, 0, zone-a"
    })
    void laterStateOfEvacuationsIsTakenFromPeers(
            String own, long ownRevision, String peers, long peerRevision, String expected) throws Exception {
        onLoop(() -> {
            cutOff.evacuate(ownRevision, own.isEmpty() ? new String[0] : new String[] {own});
            connected.evacuate(peerRevision, peers.isEmpty() ? new String[0] : new String[] {peers});
            cutOff.upstreams.onStoreUnavailable("unavailable");
            cutOff.relay.tick();
            return null;
        });
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (onLoop(() -> cutOff.configuration.version()) != 7 && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        assertThat(onLoop(() -> String.join(" ", cutOff.evacuations.state().zones())))
                .isEqualTo(expected);
    }

    // Guards against traffic between instances while the store is available.
    @Test
    void instanceWithStoreSendsNoRequests() throws Exception {
        onLoop(() -> {
            cutOff.relay.tick();
            return null;
        });
        onLoop(() -> null);
        assertThat(onLoop(this::state)).isEqualTo("version 5 a+ c+");
    }

    // Guards against one call of the store for each instance at the end of a usage window.
    @Test
    void countsAreWrittenThroughTheLeader() throws Exception {
        CompletableFuture<Long> done = onLoop(() -> {
            leader = Optional.of(peers.iterator().next());
            return cutOff.relay.write(StoreWrite.put(COUNTS_KEY, "{}".getBytes()));
        });
        done.get(WAIT_S, TimeUnit.SECONDS);
        assertThat(connected.store.text(COUNTS_KEY)).hasValue("{}");
        assertThat(cutOff.store.text(COUNTS_KEY)).isEmpty();
    }

    // Guards against counts that are never written because the leader cannot reach the store.
    @Test
    void countsAreWrittenDirectlyAfterTheLeaderFailed() throws Exception {
        connected.store.setDown(true);
        StoreWrite write = StoreWrite.put(COUNTS_KEY, "{}".getBytes());
        CompletableFuture<Long> first = onLoop(() -> {
            leader = Optional.of(peers.iterator().next());
            return cutOff.relay.write(write);
        });
        assertThrows(ExecutionException.class, () -> first.get(WAIT_S, TimeUnit.SECONDS));
        onLoop(() -> cutOff.relay.write(write)).get(WAIT_S, TimeUnit.SECONDS);
        assertThat(cutOff.store.text(COUNTS_KEY)).hasValue("{}");
    }

    // Guards against counts that are not written while the leader does not answer and the store rejects this instance,
    // whose watches work through the leader.
    @Test
    void countsAreWrittenThroughPeerAfterLeaderAndStoreFailed() throws Exception {
        cutOff.store.setDown(true);
        StoreWrite write = StoreWrite.put(COUNTS_KEY, "{}".getBytes());
        for (int attempt = 0; attempt < 2; attempt++) {
            CompletableFuture<Long> failed = onLoop(() -> {
                leader = Optional.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
                return cutOff.relay.write(write);
            });
            assertThrows(ExecutionException.class, () -> failed.get(WAIT_S, TimeUnit.SECONDS));
        }
        onLoop(() -> cutOff.relay.write(write)).get(WAIT_S, TimeUnit.SECONDS);
        assertThat(connected.store.text(COUNTS_KEY)).hasValue("{}");
    }

    // Guards against counts that a leader cannot write because the store turns it away, although its watches work: they
    // follow another instance.
    @Test
    void leaderWithoutStoreWritesItsCountsThroughAPeer() throws Exception {
        cutOff.store.setDown(true);
        CompletableFuture<Long> done = onLoop(() -> {
            storeUnavailable = true;
            return cutOff.relay.write(StoreWrite.put(COUNTS_KEY, "{}".getBytes()));
        });
        done.get(WAIT_S, TimeUnit.SECONDS);
        assertThat(connected.store.text(COUNTS_KEY)).hasValue("{}");
    }

    // Guards against usage reports without the counts of instances that cannot reach the store, and against an instance
    // that writes keys other than counts on behalf of another one.
    @Test
    void countsAreWrittenThroughPeer() throws Exception {
        cutOff.store.setDown(true);
        StoreWrite write = StoreWrite.put(COUNTS_KEY, "{}".getBytes()).andPut("op/other", "x".getBytes());
        CompletableFuture<Long> done = onLoop(() -> {
            cutOff.upstreams.onStoreUnavailable("unavailable");
            return cutOff.relay.write(write);
        });
        done.get(WAIT_S, TimeUnit.SECONDS);
        assertThat(connected.store.text(COUNTS_KEY)).hasValue("{}");
        assertThat(connected.store.text("op/other")).isEmpty();
    }
}
