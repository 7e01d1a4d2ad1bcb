package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.duty.ChangeSources;
import org.cranberrybend.entry.duty.PeerDirectory;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.MessageMemoryLimit;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreKeys;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.store.OperatorState;
import org.cranberrybend.entry.store.PrefixWatch;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.WatchableStore;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.ZoneEvacuations;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How instances learn that an evacuation starts and ends. */
class EvacuationPropagationTest {
    private static final ServerLimits LIMITS = new ServerLimits(8_192, 1_000_000, 2_000, 5_000);
    private static final StoreKeys KEYS =
            new StoreKeys("operator/", "operator/routing", "operator/evacuated/", "upstreams/");
    private static final String EVACUATION = KEYS.evacuationPrefix() + "zone-a";
    private static final long WAIT_S = 20;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final TimeSource timeSource = TimeSource.system();
    private final DecisionLog log = new DecisionLog("test", 1, timeSource, OutputStream.nullOutputStream());
    private final WatchableStore store = new WatchableStore(timeSource);
    private final Set<InetSocketAddress> peers = new LinkedHashSet<>();
    private Optional<InetSocketAddress> leader = Optional.empty();

    private final PeerDirectory directory = new PeerDirectory() {
        @Override
        public Set<InetSocketAddress> peerAddresses() {
            return peers;
        }

        @Override
        public Set<InetSocketAddress> regionalAddresses() {
            return Set.of();
        }

        @Override
        public Optional<InetSocketAddress> zoneLeader() {
            return Optional.empty();
        }
    };

    private ChangeSources sources() {
        return new ChangeSources(leader.stream().toList(), List.of());
    }

    /** An instance that reads the operator's keys. */
    private final class Instance {
        private final WatchableStore.View view = store.newView();
        private final ZoneEvacuations evacuations = new ZoneEvacuations(log);
        private final ConfigurationHolder configuration = new ConfigurationHolder((name, value) -> decode(value), log);
        private final UpstreamTable upstreams = new UpstreamTable(
                KEYS.upstreamPrefix(),
                (id, value) -> {
                    throw new JsonFormatException("no upstream is listed");
                },
                Connectors.on(loop),
                timeSource,
                log);
        private final FollowingStore following;
        private final FleetRelay relay;
        /** Whether the zone was evacuated when each configuration came into force. */
        private final List<Boolean> evacuatedAtConfiguration = new ArrayList<>();

        Instance(boolean follows) {
            following = new FollowingStore(
                    view, loop, Connectors.on(loop), () -> follows ? sources() : ChangeSources.NONE, timeSource, log);
            relay = new FleetRelay(
                    loop,
                    Connectors.on(loop),
                    following,
                    configuration,
                    upstreams,
                    evacuations,
                    upstreams::isStoreUnavailable,
                    following::isStoreUnavailable,
                    directory,
                    timeSource,
                    log);
            configuration.onChange(next -> evacuatedAtConfiguration.add(evacuations.isEvacuated("zone-a")));
        }

        Instance start() throws Exception {
            OperatorState state = new OperatorState(KEYS, configuration, evacuations, timeSource, log);
            onLoop(() -> {
                following.setRelayFilter(KEYS.operatorPrefix(), state::isRelevant);
                new PrefixWatch(following, KEYS.operatorPrefix(), PrefixWatch.MAX_HOLD_MS, 0, loop, timeSource, state)
                        .start();
                return null;
            });
            return this;
        }

        void loseStore() throws Exception {
            onLoop(() -> {
                view.setRejecting(true);
                upstreams.onStoreUnavailable("rejected");
                return null;
            });
        }

        void await(boolean evacuated) throws Exception {
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
            while (onLoop(() -> evacuations.isEvacuated("zone-a")) != evacuated && System.nanoTime() < endNs) {
                onLoop(() -> {
                    relay.tick();
                    return null;
                });
            }
            assertThat(onLoop(() -> evacuations.isEvacuated("zone-a"))).isEqualTo(evacuated);
        }

        InetSocketAddress serve() throws Exception {
            HttpServer control = new HttpServer(
                    loop,
                    timeSource,
                    (request, exchange) -> {
                        if (FollowingStore.isFollowerRequest(request.head().getRequestUri())) {
                            following.feed().handle(request, exchange);
                        } else {
                            relay.handle(request, exchange);
                        }
                    },
                    () -> LIMITS,
                    new MessageMemoryLimit(1_000_000),
                    log);
            return (InetSocketAddress) control.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel()
                    .localAddress();
        }
    }

    private static RoutingConfiguration decode(byte[] value) {
        return new RoutingConfiguration(
                Long.parseLong(new String(value)), List.of(), List.of(), Map.of(), false, LIMITS);
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 10, TimeUnit.MILLISECONDS);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(WAIT_S, TimeUnit.SECONDS);
    }

    private void put(String key, String value) throws Exception {
        onLoop(() -> {
            store.put(key, value);
            return null;
        });
    }

    private void delete(String key) throws Exception {
        onLoop(() -> {
            store.delete(key);
            return null;
        });
    }

    // Guards against an instance that the store rejects when an evacuation starts, or when it ends.
    @Test
    void instanceWithoutStoreLearnsOfStartAndEnd() throws Exception {
        put(KEYS.configurationKey(), "1");
        peers.add(new Instance(false).start().serve());
        Instance rejected = new Instance(false).start();
        rejected.loseStore();
        put(EVACUATION, "");
        rejected.await(true);
        delete(EVACUATION);
        rejected.await(false);
    }

    // Guards against a follower that misses the end of an evacuation because its leader was killed, and against a watch
    // of the store by each instance.
    @Test
    void followerOfAKilledLeaderLearnsOfTheEnd() throws Exception {
        put(KEYS.configurationKey(), "1");
        leader = Optional.of(new Instance(false).start().serve());
        Instance follower = new Instance(true).start();
        put(EVACUATION, "");
        follower.await(true);
        assertThat(onLoop(follower.view::watchCalls)).isEqualTo(0);
        leader = Optional.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        delete(EVACUATION);
        follower.await(false);
    }

    // Guards against an instance that starts during an evacuation and serves requests before it knows of it, whether
    // it reads the store or asks a peer.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void startingInstanceKnowsTheEvacuationBeforeItsConfiguration(boolean storeAvailable) throws Exception {
        put(KEYS.configurationKey(), "1");
        put(EVACUATION, "");
        peers.add(new Instance(false).start().serve());
        Instance starting = new Instance(false);
        if (!storeAvailable) {
            starting.loseStore();
        }
        starting.start().await(true);
        assertThat(onLoop(() -> starting.evacuatedAtConfiguration)).containsExactly(true);
    }

    // Guards against a start or an end that is missed because the store has lost its history.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostHistoryIsReplacedByASnapshot(boolean starts) throws Exception {
        if (!starts) {
            put(EVACUATION, "");
        }
        Instance instance = new Instance(false).start();
        instance.await(!starts);
        onLoop(() -> {
            instance.view.setRejecting(true);
            if (starts) {
                store.put(EVACUATION, "");
            } else {
                store.delete(EVACUATION);
            }
            store.loseHistory();
            instance.view.setRejecting(false);
            return null;
        });
        instance.await(starts);
    }

    // Guards against wake-ups of all followers for keys of the operator that concern nothing here.
    @Test
    void otherKeysOfTheOperatorAreIgnored() {
        OperatorState state =
                new OperatorState(KEYS, new Instance(false).configuration, new ZoneEvacuations(log), timeSource, log);
        for (String key :
                List.of("operator/other", "operator/routing-2", "operator/evacuated/", "operator/evacuated")) {
            assertThat(state.isRelevant(new StoreChange(key, 1, Optional.empty())))
                    .isFalse();
        }
    }
}
