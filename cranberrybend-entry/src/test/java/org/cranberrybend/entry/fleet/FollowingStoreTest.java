package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.BodyMemoryLimit;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.testing.ForwardingStore;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.upstream.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FollowingStoreTest {
    private static final ServerLimits LIMITS = new ServerLimits(8_192, 1_000_000, 2_000, 5_000);
    private static final String PREFIX = "upstreams/";
    private static final long WAIT_S = 10;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final TimeSource timeSource = TimeSource.system();
    private final DecisionLog log = new DecisionLog("test", 1, timeSource, OutputStream.nullOutputStream());
    private final HeldStore leadersStore = new HeldStore();
    private final HeldStore followersStore = new HeldStore();
    private final HttpConnector connector = new HttpConnector(loop);
    private final FollowingStore leading =
            new FollowingStore(leadersStore, loop, connector, Optional::empty, timeSource, log);
    private Optional<InetSocketAddress> leader = Optional.empty();
    private final FollowingStore following =
            new FollowingStore(followersStore, loop, connector, () -> leader, timeSource, log);
    private HttpServer control;

    /** A store whose watches are answered by the test. */
    private final class HeldStore extends ForwardingStore {
        private final Deque<CompletableFuture<StoreChanges>> watches = new ArrayDeque<>();

        HeldStore() {
            super(new MemoryStore(timeSource));
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMs) {
            watches.add(new CompletableFuture<>());
            return watches.getLast();
        }
    }

    @BeforeEach
    void startLeader() throws Exception {
        control = new HttpServer(loop, timeSource, leading.feed(), () -> LIMITS, new BodyMemoryLimit(1_000_000));
        leader = Optional.of(
                (InetSocketAddress) control.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel()
                        .localAddress());
        onLoop(() -> leading.watch(PREFIX, 10, 1_000));
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 10, TimeUnit.MILLISECONDS);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(WAIT_S, TimeUnit.SECONDS);
    }

    private static StoreChange put(String id, String value, long revision) {
        String key = PREFIX + id;
        return new StoreChange(key, revision, Optional.of(new StoreItem(key, value.getBytes(), revision, revision, 3)));
    }

    private static StoreChange deletion(String id, long revision) {
        return new StoreChange(PREFIX + id, revision, Optional.empty());
    }

    /** The store answers the leader, which then watches on. */
    private void storeSends(long afterRevision, long revision, StoreChange... changes) throws Exception {
        onLoop(() -> {
            leadersStore.watches.poll().complete(new StoreChanges(List.of(changes), revision));
            return leading.watch(PREFIX, Math.max(afterRevision, revision), 1_000);
        });
    }

    private CompletableFuture<StoreChanges> follow(long afterRevision) throws Exception {
        return onLoop(() -> following.watch(PREFIX, afterRevision, 4_000));
    }

    private static String text(StoreChanges changes) {
        return changes.revision()
                + changes.changes().stream()
                        .map(change -> " " + change.key().substring(PREFIX.length()) + "@" + change.revision()
                                + change.item()
                                        .map(item -> "=" + new String(item.value()))
                                        .orElse(" deleted"))
                        .collect(Collectors.joining());
    }

    // Guards against a watch of each instance at the store, whose calls then grow with the fleet.
    @Test
    void followerHearsChangesWithoutACallOfTheStore() throws Exception {
        CompletableFuture<StoreChanges> next = follow(10);
        storeSends(10, 13, put("a", "ready", 12), deletion("b", 13));
        assertThat(text(next.get(WAIT_S, TimeUnit.SECONDS))).isEqualTo("13 a@12=ready b@13 deleted");
        assertThat(followersStore.watches).isEmpty();
    }

    // Guards against a follower that misses what the leader had seen before it asked.
    @Test
    void laterFollowerGetsTheChangesThatItMissed() throws Exception {
        storeSends(10, 12, put("a", "ready", 12));
        storeSends(12, 15, put("a", "draining", 15));
        assertThat(text(follow(12).get(WAIT_S, TimeUnit.SECONDS))).isEqualTo("15 a@15=draining");
    }

    // Guards against a call of the store in each cycle of a quiet prefix, because the follower knows a later revision.
    @Test
    void followerThatIsAheadOfTheLeaderAsksNobodyElse() throws Exception {
        onLoop(() -> leading.renewLease(1).exceptionally(failure -> null));
        onLoop(() -> leading.get("any"));
        assertThat(text(follow(25).get(WAIT_S, TimeUnit.SECONDS))).isEqualTo("25");
        assertThat(followersStore.watches).isEmpty();
    }

    // Guards against a gap: the leader has read the prefix later than the follower.
    @Test
    void followerThatIsFurtherBackAsksTheStore() throws Exception {
        storeSends(10, 12, put("a", "ready", 12));
        follow(7);
        awaitDirectWatch();
    }

    // Guards against a follower that believes a leader which the store does not answer any more.
    @Test
    void followerOfALeaderThatHearsNothingAsksTheStore() throws Exception {
        follow(10);
        awaitDirectWatch();
    }

    // Guards against a follower that stays without news after its leader was killed.
    @Test
    void followerOfAStoppedLeaderAsksTheStore() throws Exception {
        leader = Optional.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        follow(10);
        awaitDirectWatch();
    }

    // Guards against followers woken by each sign of life, and against a change that is lost because it was undone.
    @Test
    void onlyNewsIsPassedOn() throws Exception {
        onLoop(() -> {
            leading.passOnly(PREFIX, change -> change.item().isEmpty());
            return null;
        });
        CompletableFuture<StoreChanges> next = follow(10);
        storeSends(10, 11, put("a", "same", 11));
        storeSends(11, 14, put("b", "same", 12), deletion("a", 13), put("a", "same", 14));
        assertThat(text(next.get(WAIT_S, TimeUnit.SECONDS))).isEqualTo("14 a@13 deleted a@14=same");
    }

    // Guards against instances that each know the load of few upstreams although their zone knows that of all.
    @Test
    void loadsAreExchangedBothWays() throws Exception {
        List<LoadReport> atLeader = new ArrayList<>();
        List<LoadReport> atFollower = new ArrayList<>();
        onLoop(() -> {
            leading.exchangeLoads(PREFIX, exchange(new LoadReport("a", 7, 100), atLeader));
            following.exchangeLoads(PREFIX, exchange(new LoadReport("b", 3, 50), atFollower));
            return null;
        });
        CompletableFuture<StoreChanges> next = follow(10);
        storeSends(10, 12, put("a", "ready", 12));
        next.get(WAIT_S, TimeUnit.SECONDS);
        assertThat(onLoop(() -> List.copyOf(atLeader))).containsExactly(new LoadReport("b", 3, 50));
        assertThat(onLoop(() -> List.copyOf(atFollower))).containsExactly(new LoadReport("a", 7, 100));
    }

    private static LoadExchange exchange(LoadReport heard, List<LoadReport> taken) {
        return new LoadExchange() {
            @Override
            public List<LoadReport> heard(long maxAgeMs, boolean heardHereOnly) {
                return List.of(heard);
            }

            @Override
            public void take(List<LoadReport> figures) {
                taken.addAll(figures);
            }
        };
    }

    private void awaitDirectWatch() throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (onLoop(() -> followersStore.watches.isEmpty()) && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        assertThat(onLoop(() -> followersStore.watches.size())).isEqualTo(1);
    }
}
