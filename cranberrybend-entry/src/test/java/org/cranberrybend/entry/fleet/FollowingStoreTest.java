package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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
import org.cranberrybend.entry.duty.ChangeSources;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.MessageMemoryLimit;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.ForwardingStore;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.upstream.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FollowingStoreTest {
    private static final ServerLimits LIMITS = new ServerLimits(8_192, 1_000_000, 2_000, 5_000);
    private static final String PREFIX = "upstreams/";
    private static final long WAIT_S = 10;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final TimeSource timeSource = TimeSource.system();
    private final DecisionLog log = new DecisionLog("test", 1, timeSource, OutputStream.nullOutputStream());
    private final PendingWatchStore leaderStore = new PendingWatchStore();
    private final PendingWatchStore followerStore = new PendingWatchStore();
    private final HttpConnector connector = Connectors.on(loop);
    private final FollowingStore leaderInstance =
            new FollowingStore(leaderStore, loop, connector, () -> ChangeSources.NONE, timeSource, log);
    private Optional<InetSocketAddress> leaderAddress = Optional.empty();
    private final List<InetSocketAddress> alternatives = new ArrayList<>();
    private final FollowingStore followerInstance =
            new FollowingStore(followerStore, loop, connector, this::sources, timeSource, log);
    private HttpServer control;

    private ChangeSources sources() {
        return new ChangeSources(leaderAddress.stream().toList(), alternatives);
    }

    /** A store whose watches are completed by the test. */
    private final class PendingWatchStore extends ForwardingStore {
        private final Deque<CompletableFuture<StoreChanges>> watches = new ArrayDeque<>();
        private final List<Long> holdTimesMs = new ArrayList<>();

        PendingWatchStore() {
            super(new MemoryStore(timeSource));
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMs) {
            watches.add(new CompletableFuture<>());
            holdTimesMs.add(waitMs);
            return watches.getLast();
        }
    }

    @BeforeEach
    void startLeader() throws Exception {
        control = new HttpServer(
                loop, timeSource, leaderInstance.feed(), () -> LIMITS, new MessageMemoryLimit(1_000_000), log);
        leaderAddress = Optional.of(listen(control));
        onLoop(() -> leaderInstance.watch(PREFIX, 10, 1_000));
    }

    private static InetSocketAddress listen(HttpServer server) throws InterruptedException {
        return (InetSocketAddress) server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
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

    /** Completes the leader's watch and starts its next one. */
    private void storeSends(long afterRevision, long revision, StoreChange... changes) throws Exception {
        onLoop(() -> {
            leaderStore.watches.poll().complete(new StoreChanges(List.of(changes), revision));
            return leaderInstance.watch(PREFIX, Math.max(afterRevision, revision), 1_000);
        });
    }

    private CompletableFuture<StoreChanges> follow(long afterRevision) throws Exception {
        return onLoop(() -> followerInstance.watch(PREFIX, afterRevision, 4_000));
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

    // Guards against a store watch of every instance: the store calls would grow with the fleet.
    @Test
    void followerReceivesChangesWithoutStoreCall() throws Exception {
        CompletableFuture<StoreChanges> next = follow(10);
        storeSends(10, 13, put("a", "ready", 12), deletion("b", 13));
        assertThat(text(next.get(WAIT_S, TimeUnit.SECONDS))).isEqualTo("13 a@12=ready b@13 deleted");
        assertThat(followerStore.watches).isEmpty();
    }

    // Guards against a follower that misses changes that the leader received before its request.
    @Test
    void lateFollowerReceivesMissedChanges() throws Exception {
        storeSends(10, 12, put("a", "ready", 12));
        storeSends(12, 15, put("a", "draining", 15));
        assertThat(text(follow(12).get(WAIT_S, TimeUnit.SECONDS))).isEqualTo("15 a@15=draining");
    }

    // Guards against a store call in every cycle of a prefix without changes: the follower may know a later revision
    // than the leader.
    @Test
    void followerAheadOfLeaderStaysWithLeader() throws Exception {
        onLoop(() -> leaderInstance.renewLease(1).exceptionally(failure -> null));
        onLoop(() -> leaderInstance.get("any"));
        assertThat(text(follow(25).get(WAIT_S, TimeUnit.SECONDS))).isEqualTo("25");
        assertThat(followerStore.watches).isEmpty();
    }

    // Guards against missed changes when the leader's log starts after the follower's revision.
    @Test
    void followerBehindChangeLogWatchesStore() throws Exception {
        storeSends(10, 12, put("a", "ready", 12));
        follow(7);
        awaitDirectWatch();
    }

    // Guards against a follower that keeps following a leader to which the store has become unavailable.
    @Test
    void followerOfLeaderWithoutStoreWatchesStore() throws Exception {
        follow(10);
        awaitDirectWatch();
    }

    // Guards against a follower that misses the changes after an outage of the store for the hold time of a lost watch,
    // while its leader has them, and against short watches of a store that only the leader cannot reach.
    @ParameterizedTest
    @CsvSource({"false, 300", "true, 4000"})
    void watchInPlaceOfTheLeaderIsShortWhileTheStoreIsAway(boolean responsive, long expectedHoldMs) throws Exception {
        onLoop(() -> {
            leaderStore
                    .watches
                    .poll()
                    .completeExceptionally(new StoreException(StoreException.Kind.UNKNOWN, "no response"));
            return responsive ? followerInstance.get("any") : null;
        });
        follow(10);
        awaitDirectWatch();
        assertThat(followerStore.holdTimesMs).containsExactly(expectedHoldMs);
    }

    // Guards against a leader that confirms an old state because its other calls succeed, while the connection of its
    // watch is silent: a withdrawn key worked at its followers for as long.
    @Test
    void followerOfLeaderWhoseWatchFailedWatchesStore() throws Exception {
        onLoop(() -> leaderInstance.get("any"));
        follow(10);
        onLoop(() -> {
            leaderStore
                    .watches
                    .poll()
                    .completeExceptionally(new StoreException(StoreException.Kind.UNKNOWN, "no response"));
            return leaderInstance.get("any");
        });
        awaitDirectWatch();
    }

    // Guards against followers that stay away from a leader whose watch works again, or that reads a snapshot.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leaderConfirmsAgainAfterItsWatchOrSnapshotSucceeded(boolean snapshot) throws Exception {
        onLoop(() -> {
            leaderStore
                    .watches
                    .poll()
                    .completeExceptionally(new StoreException(StoreException.Kind.UNKNOWN, "no response"));
            leaderInstance.watch(PREFIX, 10, 1);
            return snapshot
                    ? leaderInstance.list(PREFIX)
                    : leaderStore.watches.peek().complete(new StoreChanges(List.of(), 12));
        });
        assertThat(text(follow(12).get(WAIT_S, TimeUnit.SECONDS))).isEqualTo("12");
        assertThat(followerStore.watches).isEmpty();
    }

    // Guards against an instance that keeps an old state, and a withdrawn key, because the store turns it away.
    @Test
    void instanceWithoutStoreFollowsAnother() throws Exception {
        alternatives.addAll(leaderAddress.stream().toList());
        leaderAddress = Optional.empty();
        CompletableFuture<StoreChanges> next = follow(10);
        onLoop(() -> followerStore
                .watches
                .poll()
                .completeExceptionally(new StoreException(StoreException.Kind.NOT_DONE, "status 503")));
        storeSends(10, 12, put("a", "ready", 12));
        assertThat(text(next.get(WAIT_S, TimeUnit.SECONDS))).isEqualTo("12 a@12=ready");
        assertThat(onLoop(followerInstance::isStoreUnavailable)).isTrue();
    }

    // Guards against a snapshot of another instance that takes back what this one has learned since.
    @Test
    void outdatedSnapshotOfAnInstanceIsNotTaken() throws Exception {
        Optional<InetSocketAddress> outdated = Optional.of(listen(new HttpServer(
                loop,
                timeSource,
                (request, exchange) -> exchange.respond(
                        200,
                        "OK",
                        List.of(),
                        "{\"revision\":0,\"changes\":[],\"loads\":{}}".getBytes(StandardCharsets.UTF_8)),
                () -> LIMITS,
                new MessageMemoryLimit(1_000_000),
                log)));
        leaderAddress = Optional.empty();
        onLoop(() -> followerStore.write(StoreWrite.put(PREFIX + "a", new byte[] {1})))
                .get(WAIT_S, TimeUnit.SECONDS);
        StoreSnapshot known = onLoop(() -> followerInstance.list(PREFIX)).get(WAIT_S, TimeUnit.SECONDS);
        leaderAddress = outdated;
        assertThat(onLoop(() -> followerInstance.list(PREFIX)).get(WAIT_S, TimeUnit.SECONDS))
                .isEqualTo(known);
    }

    // Guards against a follower that receives no more changes after its leader was killed.
    @Test
    void followerOfStoppedLeaderWatchesStore() throws Exception {
        leaderAddress = Optional.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        follow(10);
        awaitDirectWatch();
    }

    // Guards against responses to followers for every heartbeat, and against a key whose change is sent without the
    // later change that undoes it.
    @Test
    void onlyRelevantChangesAreRelayed() throws Exception {
        onLoop(() -> {
            leaderInstance.setRelayFilter(PREFIX, change -> change.item().isEmpty());
            return null;
        });
        CompletableFuture<StoreChanges> next = follow(10);
        storeSends(10, 11, put("a", "same", 11));
        storeSends(11, 14, put("b", "same", 12), deletion("a", 13), put("a", "same", 14));
        assertThat(text(next.get(WAIT_S, TimeUnit.SECONDS))).isEqualTo("14 a@13 deleted a@14=same");
    }

    // Guards against instances that have load reports of few upstreams although the instances of their zone together
    // have reports of all upstreams.
    @Test
    void loadReportsAreExchangedBothWays() throws Exception {
        List<LoadReport> atLeader = new ArrayList<>();
        List<LoadReport> atFollower = new ArrayList<>();
        onLoop(() -> {
            leaderInstance.setLoadExchange(PREFIX, exchange(new LoadReport("a", 7, 100), atLeader));
            followerInstance.setLoadExchange(PREFIX, exchange(new LoadReport("b", 3, 50), atFollower));
            return null;
        });
        CompletableFuture<StoreChanges> next = follow(10);
        storeSends(10, 12, put("a", "ready", 12));
        next.get(WAIT_S, TimeUnit.SECONDS);
        assertThat(onLoop(() -> List.copyOf(atLeader))).containsExactly(new LoadReport("b", 3, 50));
        assertThat(onLoop(() -> List.copyOf(atFollower))).containsExactly(new LoadReport("a", 7, 100));
    }

    private static LoadExchange exchange(LoadReport recent, List<LoadReport> merged) {
        return new LoadExchange() {
            @Override
            public List<LoadReport> recentLoads(long maxAgeMs, boolean receivedHereOnly) {
                return List.of(recent);
            }

            @Override
            public void merge(List<LoadReport> reports) {
                merged.addAll(reports);
            }
        };
    }

    private void awaitDirectWatch() throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (onLoop(() -> followerStore.watches.isEmpty()) && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        assertThat(onLoop(() -> followerStore.watches.size())).isEqualTo(1);
    }

    // An upgrade in which the leader still runs an earlier version: guards against taking its confirmation for that
    // of the present epoch. Its revisions have none, so that it knows no change after any of this version.
    @Test
    void leaderWhoseRevisionsHaveNoEpochIsNotFollowed() throws Exception {
        RequestHandler earlierVersion = (request, exchange) -> {
            boolean known = request.head().getRequestUri().startsWith("/fleet/changes");
            byte[] nothingChanged = "{\"revision\":10,\"changes\":[],\"loads\":{}}".getBytes(StandardCharsets.UTF_8);
            exchange.respond(known ? 200 : 404, "", List.of(), known ? nothingChanged : new byte[0]);
        };
        leaderAddress = Optional.of(listen(new HttpServer(
                loop, timeSource, earlierVersion, () -> LIMITS, new MessageMemoryLimit(1_000_000), log)));
        CompletableFuture<StoreChanges> next = follow(StoreRevision.of(1, 7));
        while (onLoop(followerStore.watches::isEmpty) && !next.isDone()) {
            Thread.onSpinWait();
        }
        assertThat(next.isDone()).isFalse();
    }
}
