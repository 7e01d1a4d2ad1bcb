package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.duty.ChangeSources;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.MessageMemoryLimit;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreKeys;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.store.OperatorState;
import org.cranberrybend.entry.store.PrefixWatch;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.WatchableStore;
import org.cranberrybend.entry.upstream.ZoneEvacuations;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A zone behind a narrow link to the store, which turns some of its instances away while a large value changes. */
class TurnedAwayZoneTest {
    private static final ServerLimits LIMITS = new ServerLimits(8_192, 1_000_000, 2_000, 5_000);
    private static final StoreKeys KEYS = new StoreKeys("operator/", "operator/routing", "operator/evacuated/", "up/");
    private static final long WAIT_S = 30;
    private static final int INSTANCES = 6;
    private static final int VERSIONS = 30;
    private static final int VALUE_BYTES = 100_000;
    /** Longer than an instance is left out that does not have the changes itself. */
    private static final long VERSION_INTERVAL_MS = 1_100;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicLong clockOffsetMs = new AtomicLong();
    private final TimeSource timeSource = new TimeSource() {
        @Override
        public long wallMs() {
            return TimeSource.system().wallMs() + clockOffsetMs.get();
        }

        @Override
        public long monotonicMs() {
            return TimeSource.system().monotonicMs() + clockOffsetMs.get();
        }
    };
    private final DecisionLog log = new DecisionLog("test", 1, timeSource, OutputStream.nullOutputStream());
    private final WatchableStore store = new WatchableStore(timeSource);
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();

    /** An instance that reads the operator's keys. Instances with a smaller number are asked before the store. */
    private final class Instance {
        private final int number;
        private final WatchableStore.View view = store.newView();
        private final ConfigurationHolder configuration = new ConfigurationHolder((name, value) -> decode(value), log);
        private final FollowingStore following =
                new FollowingStore(view, loop, Connectors.on(loop), this::sources, timeSource, log);

        private PrefixWatch watch;

        Instance(int number) {
            this.number = number;
        }

        private ChangeSources sources() {
            return new ChangeSources(addresses.subList(0, number), addresses.subList(number + 1, INSTANCES));
        }

        void serve() throws Exception {
            HttpServer control = new HttpServer(
                    loop, timeSource, following.feed(), () -> LIMITS, new MessageMemoryLimit(16 * 1024 * 1024), log);
            addresses.add((InetSocketAddress) control.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel()
                    .localAddress());
        }

        void watch() {
            OperatorState state = new OperatorState(KEYS, configuration, new ZoneEvacuations(log), timeSource, log);
            following.setRelayFilter(KEYS.operatorPrefix(), state::isRelevant);
            watch = new PrefixWatch(
                    following, KEYS.operatorPrefix(), PrefixWatch.MAX_HOLD_MS, 0, loop, timeSource, state);
            watch.start();
        }
    }

    @BeforeEach
    void startInstances() throws Exception {
        for (int i = 0; i < INSTANCES; i++) {
            Instance instance = new Instance(i);
            instances.add(instance);
            instance.serve();
        }
        write(1);
        onLoop(() -> {
            instances.forEach(Instance::watch);
            return null;
        });
        await(1, instances);
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 10, TimeUnit.MILLISECONDS);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(WAIT_S, TimeUnit.SECONDS);
    }

    private static RoutingConfiguration decode(byte[] value) {
        return new RoutingConfiguration(
                Long.parseLong(new String(value).trim()), List.of(), List.of(), Map.of(), false, LIMITS);
    }

    private void write(int version) throws Exception {
        onLoop(() -> {
            store.put(KEYS.configurationKey(), String.format("%-" + VALUE_BYTES + "d", version));
            return null;
        });
    }

    private void await(int version, List<Instance> waiting) throws Exception {
        for (Instance each : waiting) {
            await("version of instance " + each.number, () -> each.configuration.version() == version);
        }
    }

    /** Waits for a condition, while all instances make calls of the store in place of the renewals of their leases. */
    private void await(String description, Callable<Boolean> condition) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (!onLoop(condition) && System.nanoTime() < endNs) {
            onLoop(() -> {
                instances.forEach(each -> each.following.get("lease"));
                return null;
            });
        }
        assertWithMessage(description).that(onLoop(condition)).isTrue();
    }

    /** Turns all instances away until each of them has noticed. */
    private void loseStore() throws Exception {
        setRejecting(instances, true);
        for (Instance each : instances) {
            await("outage of instance " + each.number, each.watch::isUnavailable);
        }
    }

    private void setRejecting(List<Instance> rejected, boolean rejecting) throws Exception {
        onLoop(() -> {
            rejected.forEach(each -> each.view.setRejecting(rejecting));
            return null;
        });
    }

    private long sentValues() throws Exception {
        return onLoop(() ->
                instances.stream().mapToLong(each -> each.view.sentValueBytes()).sum() / VALUE_BYTES);
    }

    // Guards against instances that keep a withdrawn key because the store turns them away, and against each
    // instance of a zone reading every version from the store because the leader is among these: together they fill
    // the link to it.
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5})
    void versionsReachAllInstancesAndCrossTheLinkOnce(int rejected) throws Exception {
        setRejecting(instances.subList(0, rejected), true);
        long before = sentValues();
        for (int version = 2; version <= VERSIONS; version++) {
            clockOffsetMs.addAndGet(VERSION_INTERVAL_MS);
            write(version);
            await(version, instances);
        }
        // One instance reads each version, and the others may read a few before they have agreed on that one.
        assertThat(sentValues() - before).isAtMost(2 * VERSIONS);
    }

    // Guards against instances that read each version of an outage after it, only the last of which counts.
    @Test
    void afterAnOutageOnlyTheNewestVersionIsRead() throws Exception {
        loseStore();
        for (int version = 2; version <= VERSIONS; version++) {
            write(version);
        }
        long before = sentValues();
        setRejecting(instances, false);
        await(VERSIONS, instances);
        assertThat(sentValues() - before).isAtMost(INSTANCES);
    }

    // Guards against followers that all read from the store because the leader has read a snapshot, and no longer
    // has the changes since their revisions.
    @ParameterizedTest
    @ValueSource(ints = {2, VERSIONS})
    void followersReadTheSnapshotOfTheirLeader(int versions) throws Exception {
        loseStore();
        for (int version = 2; version <= versions; version++) {
            write(version);
        }
        setRejecting(instances.subList(0, 1), false);
        await(versions, instances.subList(0, 1));
        setRejecting(instances, false);
        await(versions, instances);
        assertThat(onLoop(() -> instances.stream()
                        .skip(1)
                        .filter(each -> each.view.sentValueBytes() > VALUE_BYTES)
                        .count()))
                .isEqualTo(0);
    }
}
