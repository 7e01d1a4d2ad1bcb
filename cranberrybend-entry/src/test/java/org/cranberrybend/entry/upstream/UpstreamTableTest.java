package org.cranberrybend.entry.upstream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UpstreamTableTest {
    private static final String PREFIX = "upstreams/";
    private static final long LOG_LIMIT_MS = 5_000;

    private final TestClock clock = new TestClock();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog("instance", 1, clock, logOutput);
    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final UpstreamTable table =
            new UpstreamTable(PREFIX, UpstreamTableTest::decode, Connectors.on(loop), clock, log);

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 10, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    /** Decodes values of the form {@code born:ready} or {@code born:leaving}. */
    private static UpstreamRecord decode(String id, byte[] value) throws JsonFormatException {
        String[] parts = new String(value).split(":");
        if (parts.length != 2) {
            throw new JsonFormatException("two parts expected");
        }
        return new UpstreamRecord(
                id,
                "work",
                new InetSocketAddress("127.0.0.1", 9),
                "zone-a",
                8,
                parts[1].equals("leaving"),
                Market.GUARANTEED,
                Long.parseLong(parts[0]),
                0);
    }

    private static StoreItem item(String id, String value, long revision) {
        return new StoreItem(PREFIX + id, value.getBytes(), revision, revision, 0);
    }

    private static StoreSnapshot snapshot(long revision, StoreItem... items) {
        return new StoreSnapshot(List.of(items), revision);
    }

    private List<String> usable() {
        return table.all().stream()
                .filter(each -> each.accepts(clock.monotonicMs()))
                .map(each -> each.entry().id())
                .collect(Collectors.toList());
    }

    // Guards against sending requests to an upstream that has announced that it is leaving.
    @Test
    void leavingUpstreamReceivesNoRequests() {
        table.onSnapshot(snapshot(2, item("a", "1:ready", 1), item("b", "1:ready", 2)), 0);
        table.onChange(new StoreChange(PREFIX + "a", 3, Optional.of(item("a", "1:leaving", 3))));
        assertThat(usable()).containsExactly("b");
    }

    // Guards against a log without the moment at which a known upstream began to leave.
    @Test
    void leavingIsLoggedOnce() {
        table.onSnapshot(snapshot(2, item("a", "1:ready", 1)), 0);
        table.onChange(new StoreChange(PREFIX + "a", 3, Optional.of(item("a", "1:leaving", 3))));
        table.onChange(new StoreChange(PREFIX + "a", 4, Optional.of(item("a", "1:leaving", 4))));
        log.start();
        log.stop(LOG_LIMIT_MS);
        assertThat(logOutput.toString().split("UPSTREAM_LEAVING", -1)).hasLength(2);
    }

    // Guards against an entry, snapshot or peer that takes the statement of a process back, and against holding it
    // against its successor.
    @Test
    void statedLeavingHoldsForTheProcess() {
        table.onSnapshot(snapshot(2, item("a", "1:ready", 1)), 0);
        table.recordLeaving(table.find("a").get());
        assertThat(usable()).isEmpty();
        table.onChange(new StoreChange(PREFIX + "a", 3, Optional.of(item("a", "1:ready", 3))));
        assertThat(usable()).isEmpty();
        table.onChange(new StoreChange(PREFIX + "a", 4, Optional.empty()));
        table.onSnapshot(snapshot(5, item("a", "1:ready", 5)), 8_000);
        assertThat(usable()).isEmpty();
        table.mergePeerState(List.of(item("a", "1:ready", 6)), 6);
        assertThat(usable()).isEmpty();
        table.onChange(new StoreChange(PREFIX + "a", 7, Optional.of(item("a", "2:ready", 7))));
        assertThat(usable()).containsExactly("a");
    }

    // Guards against sequences of statements, heartbeats, expiries, restarts, snapshots and states of peers after which
    // a process receives requests again although it stated that it is leaving, or during the time that it asked for.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noSequenceOfEventsTakesAStatementBack(long seed) {
        Random random = new Random(seed);
        Map<String, Integer> starts = new TreeMap<>();
        Set<String> stated = new TreeSet<>();
        Map<String, Long> pausedUntilMs = new TreeMap<>();
        for (int step = 1; step <= 2_000; step++) {
            String id = "u" + random.nextInt(4);
            String value = starts.getOrDefault(id, 1) + ":ready";
            switch (random.nextInt(8)) {
                case 0:
                    table.find(id).ifPresent(upstream -> {
                        stated.add(id + "#" + upstream.entry().startedAtMs());
                        table.recordLeaving(upstream);
                    });
                    break;
                case 1:
                    table.onChange(new StoreChange(PREFIX + id, step, Optional.empty()));
                    break;
                case 2:
                    starts.merge(id, 2, (old, first) -> old + 1);
                    break;
                case 3:
                    table.onSnapshot(snapshot(step, item(id, value, step)), random.nextInt(2) * 8_000);
                    table.onProgress(step);
                    break;
                case 4:
                    table.onStoreUnavailable("connection refused");
                    table.mergePeerState(List.of(item(id, value, step)), step);
                    break;
                case 5:
                    long pauseMs = random.nextInt(10_000);
                    table.find(id).ifPresent(upstream -> {
                        String process = id + "#" + upstream.entry().startedAtMs();
                        pausedUntilMs.merge(process, clock.monotonicMs() + pauseMs, Math::max);
                        table.recordPause(upstream, pauseMs);
                    });
                    break;
                case 6:
                    clock.advance(random.nextInt(3_000));
                    table.removeExpired(clock.monotonicMs());
                    break;
                default:
                    table.onChange(new StoreChange(PREFIX + id, step, Optional.of(item(id, value, step))));
            }
            for (Upstream upstream : table.all()) {
                String process = upstream.entry().id() + "#" + upstream.entry().startedAtMs();
                long pauseEndMs = pausedUntilMs.getOrDefault(process, 0L);
                boolean mayAccept = !stated.contains(process) && clock.monotonicMs() >= pauseEndMs;
                boolean accepts = upstream.accepts(clock.monotonicMs());
                assertWithMessage("seed %s, step %s: %s accepts requests", seed, step, process)
                        .that(accepts && !mayAccept)
                        .isFalse();
                // The pause may be longer by its jitter.
                assertWithMessage("seed %s, step %s: %s accepts no requests", seed, step, process)
                        .that(!accepts && mayAccept && clock.monotonicMs() > pauseEndMs + 500)
                        .isFalse();
            }
        }
        assertThat(stated).isNotEmpty();
    }

    // Guards against one malformed entry making other upstreams unusable.
    @Test
    void undecodableEntryIsIgnored() {
        table.onSnapshot(snapshot(2, item("a", "1:ready", 1), item("x", "what", 2)), 0);
        assertThat(usable()).containsExactly("a");
    }

    // Guards against losing all upstreams because their entries expire during an outage of the store.
    @Test
    void upstreamsWhoseEntriesExpireDuringAnOutageAreKeptForAGracePeriod() {
        table.onSnapshot(snapshot(2, item("a", "1:ready", 1), item("b", "1:ready", 2)), 0);
        clock.advance(8_000);
        table.onSnapshot(snapshot(9), 8_000);
        table.onProgress(9);
        assertThat(usable()).containsExactly("a", "b");
        table.onChange(new StoreChange(PREFIX + "a", 10, Optional.of(item("a", "1:ready", 10))));
        clock.advance(2_300);
        table.removeExpired(clock.monotonicMs());
        assertThat(usable()).containsExactly("a");
    }

    // Guards against keeping an upstream whose entry is deleted while there is no outage.
    @Test
    void upstreamOfADeletedEntryIsRemovedAtOnce() {
        table.onSnapshot(snapshot(2, item("a", "1:ready", 1), item("b", "1:ready", 2)), 0);
        table.onChange(new StoreChange(PREFIX + "a", 3, Optional.empty()));
        assertThat(usable()).containsExactly("b");
    }

    // Guards against keeping the counts and connections of an upstream process that has restarted under its identifier.
    @Test
    void upstreamThatStartedAgainIsAnotherOne() {
        table.onSnapshot(snapshot(1, item("a", "1:ready", 1)), 0);
        Upstream before = table.find("a").get();
        before.begin(100);
        table.onChange(new StoreChange(PREFIX + "a", 2, Optional.of(item("a", "2:ready", 2))));
        Upstream after = table.find("a").get();
        assertThat(after).isNotSameInstanceAs(before);
        assertThat(after.running()).isEqualTo(0);
        assertThat(before.accepts(clock.monotonicMs())).isFalse();
    }

    // Guards against older state of a peer overwriting the state known to this instance.
    @Test
    void peerStateIsAppliedOnlyIfItIsLater() {
        table.onSnapshot(snapshot(5, item("a", "1:leaving", 5)), 0);
        table.onProgress(5);
        table.mergePeerState(List.of(item("a", "1:ready", 3), item("b", "1:ready", 2)), 4);
        assertThat(usable()).isEmpty();
        table.mergePeerState(List.of(item("a", "1:leaving", 5), item("b", "1:ready", 7)), 7);
        assertThat(usable()).containsExactly("b");
    }

    // Guards against sending requests to an upstream that fails each of them.
    @Test
    void failingUpstreamIsEjectedAndReadmitted() {
        table.onSnapshot(snapshot(2, item("a", "1:ready", 1), item("b", "1:ready", 2)), 0);
        Upstream a = table.find("a").get();
        List<Boolean> ejected = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            ejected.add(a.recordFailure(clock.monotonicMs()));
        }
        assertThat(ejected).containsExactly(false, false, true).inOrder();
        assertThat(usable()).containsExactly("b");
        clock.advance(1_000);
        assertThat(usable()).containsExactly("a", "b");
    }

    private static long restored(long revision) {
        return StoreRevision.of(1, revision);
    }

    // The store comes back from an older copy: guards against requests to upstreams that have left or are leaving
    // since the copy was made, and against the loss of one that has joined since.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void copyOfTheStoreDoesNotTakeBackWhatUpstreamsHaveDone(boolean fromPeer) {
        table.onSnapshot(
                snapshot(3, item("left", "1:ready", 1), item("leaving", "1:ready", 2), item("stays", "1:ready", 3)), 0);
        table.onProgress(3);
        table.onChange(new StoreChange(PREFIX + "left", 4, Optional.empty()));
        table.onChange(new StoreChange(PREFIX + "leaving", 5, Optional.of(item("leaving", "1:leaving", 5))));
        table.onChange(new StoreChange(PREFIX + "joined", 6, Optional.of(item("joined", "1:ready", 6))));
        table.onProgress(6);
        List<StoreItem> copy = List.of(
                item("left", "1:ready", restored(1)),
                item("leaving", "1:ready", restored(2)),
                item("stays", "1:ready", restored(3)));
        if (fromPeer) {
            table.mergePeerState(copy, restored(4));
        } else {
            table.onSnapshot(new StoreSnapshot(copy, restored(4)), 0);
            table.onProgress(restored(4));
        }
        assertThat(usable()).containsExactly("joined", "stays");
    }

    // Guards against an upstream that stays away although it has written its entry again: it had not left, its
    // entry had expired.
    @Test
    void departedUpstreamReturnsWhenItWritesItsEntryAgain() {
        table.onSnapshot(snapshot(2, item("a", "1:ready", 1), item("b", "1:ready", 2)), 0);
        table.onChange(new StoreChange(PREFIX + "a", 3, Optional.empty()));
        table.onProgress(3);
        table.onSnapshot(
                snapshot(restored(2), item("a", "1:ready", restored(1)), item("b", "1:ready", restored(2))), 0);
        table.onProgress(restored(2));
        assertThat(usable()).containsExactly("b");
        table.onChange(new StoreChange(PREFIX + "a", restored(3), Optional.of(item("a", "1:ready", restored(3)))));
        assertThat(usable()).containsExactly("a", "b");
    }

    // Guards against an instance that takes the state of an earlier epoch from a peer that has not learned of the
    // restoration, although its revision is higher.
    @Test
    void stateOfAnEarlierEpochIsNotTakenFromAPeer() {
        table.onSnapshot(snapshot(restored(2), item("a", "1:ready", restored(1))), 0);
        table.onProgress(restored(2));
        table.mergePeerState(List.of(item("old", "1:ready", 90)), 100);
        assertThat(usable()).containsExactly("a");
    }
}
