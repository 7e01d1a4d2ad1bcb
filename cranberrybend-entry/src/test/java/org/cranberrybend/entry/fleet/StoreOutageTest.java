package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.store.PrefixWatch;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.ManualScheduler;
import org.cranberrybend.entry.testing.ResponseRecorder;
import org.cranberrybend.entry.testing.TestClock;
import org.cranberrybend.entry.upstream.UpstreamRecord;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The upstreams that a leader and its follower know after an outage of the store. */
class StoreOutageTest {
    private static final String PREFIX = "upstreams/";
    private static final long OUTAGE_MS = 6_800;
    private static final long REGISTRATION_MS = 1_700;
    private static final long GRACE_PERIOD_MS = 2_200;

    private final TestClock clock = new TestClock();
    private final ManualScheduler loop = new ManualScheduler();
    private final DecisionLog log = new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream());
    private final UpstreamTable leader = table();
    private final UpstreamTable follower = table();
    private final ChangeFeed feed = new ChangeFeed(loop, new StoreEpoch(), clock, log);

    /** How the entry of an upstream comes back after the outage. */
    private enum Return {
        AFTER_SNAPSHOTS {
            @Override
            long leaderSnapshotRevision() {
                return ENTRY_EXPIRED;
            }
        },
        // The lease expires only after the leader has read the entries.
        EXPIRED_AFTER_LEADER_SNAPSHOT {
            @Override
            long leaderSnapshotRevision() {
                return ENTRY_EXPIRED - 1;
            }
        };

        abstract long leaderSnapshotRevision();
    }

    private static final long ENTRY_WRITTEN = 5;
    private static final long HEARTBEAT = 8;
    private static final long ENTRY_EXPIRED = 20;
    private static final long FOLLOWER_SNAPSHOT = 21;
    private static final long ENTRY_WRITTEN_AGAIN = 25;

    @BeforeEach
    void startWatch() {
        feed.setRelayFilter(PREFIX, leader::isMaterialChange);
        feed.onWatchStarted(PREFIX, ENTRY_WRITTEN);
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    private UpstreamTable table() {
        return new UpstreamTable(PREFIX, StoreOutageTest::decode, Connectors.on(null), clock, log);
    }

    /** Decodes the values {@code ready} and {@code leaving}. */
    private static UpstreamRecord decode(String id, byte[] value) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 9);
        boolean leaving = new String(value).equals("leaving");
        return new UpstreamRecord(id, "work", address, "zone-a", 8, leaving, Market.GUARANTEED, 1, 0);
    }

    private static StoreItem item(String id, String value, long revision, long createdRevision) {
        return new StoreItem(PREFIX + id, value.getBytes(), revision, createdRevision, 3);
    }

    private static StoreChange put(StoreItem item) {
        return new StoreChange(item.key(), item.revision(), Optional.of(item));
    }

    private static StoreChange deletion(String id, long revision) {
        return new StoreChange(PREFIX + id, revision, Optional.empty());
    }

    private static void load(UpstreamTable table, long revision, long outageMs, StoreItem... items) {
        table.onSnapshot(new StoreSnapshot(List.of(items), revision), outageMs);
        table.onProgress(revision);
    }

    /** The store sends changes to the leader, which passes the relevant ones on and applies all of them. */
    private void leaderReceives(long afterRevision, long revision, StoreChange... changes) {
        feed.onStoreResponse();
        feed.append(PREFIX, afterRevision, new StoreChanges(List.of(changes), revision));
        Arrays.stream(changes).forEach(leader::onChange);
        leader.onProgress(revision);
    }

    private List<StoreChange> requestChanges(long afterRevision) throws JsonFormatException {
        ResponseRecorder exchange = new ResponseRecorder();
        String target = ChangeFeed.PATH + "?prefix=upstreams%2F&wait_ms=400&after=" + afterRevision;
        feed.handle(
                new ReceivedRequest(new BasicHttpRequest("POST", target), new byte[0], clock.monotonicMs()), exchange);
        if (exchange.status() == 0) {
            loop.runNext();
        }
        return ChangeFormat.decode(exchange.body()).changes().changes();
    }

    private void followerReceives(long afterRevision) throws JsonFormatException {
        requestChanges(afterRevision).forEach(follower::onChange);
        follower.onProgress(leader.revision());
    }

    private void failStore(UpstreamTable table, long outageMs) {
        table.onStoreUnavailable("connection refused");
        clock.advance(outageMs);
        table.removeExpired(clock.monotonicMs());
    }

    private List<String> usable(UpstreamTable table) {
        return table.all().stream()
                .filter(each -> each.accepts(clock.monotonicMs()))
                .map(each -> each.entry().id())
                .collect(Collectors.toList());
    }

    // Guards against a follower that loses an upstream for good: its entry expired in an outage of the store and was
    // written again unchanged, which the leader took for a heartbeat because it had kept the upstream.
    @ParameterizedTest
    @EnumSource
    void entryWrittenAgainAfterAnOutageReachesFollowers(Return scenario) throws JsonFormatException {
        StoreItem before = item("a", "ready", ENTRY_WRITTEN, ENTRY_WRITTEN);
        load(leader, ENTRY_WRITTEN, 0, before);
        load(follower, ENTRY_WRITTEN, 0, before);
        clock.advance(OUTAGE_MS);
        long leaderRevision = scenario.leaderSnapshotRevision();
        boolean listed = leaderRevision < ENTRY_EXPIRED;
        load(leader, leaderRevision, OUTAGE_MS, listed ? new StoreItem[] {before} : new StoreItem[0]);
        feed.onWatchStarted(PREFIX, leaderRevision);
        if (listed) {
            leaderReceives(leaderRevision, ENTRY_EXPIRED, deletion("a", ENTRY_EXPIRED));
        }
        load(follower, FOLLOWER_SNAPSHOT, OUTAGE_MS);
        clock.advance(REGISTRATION_MS);
        leaderReceives(
                ENTRY_EXPIRED, ENTRY_WRITTEN_AGAIN, put(item("a", "ready", ENTRY_WRITTEN_AGAIN, ENTRY_WRITTEN_AGAIN)));
        followerReceives(FOLLOWER_SNAPSHOT);
        clock.advance(GRACE_PERIOD_MS);
        leader.removeExpired(clock.monotonicMs());
        follower.removeExpired(clock.monotonicMs());
        assertThat(usable(leader)).containsExactly("a");
        assertWithMessage("upstreams of the follower").that(usable(follower)).containsExactly("a");
    }

    // Guards against a follower that sends requests to a leaving upstream, or none to a new one: the leader had learned
    // of the change from a peer, so the change of the store was not new to the leader.
    @ParameterizedTest
    @CsvSource({"a, leaving, 5, ''", "b, ready, 8, 'a,b'"})
    void changeKnownFromPeerReachesFollowers(String id, String value, long createdRevision, String expected)
            throws JsonFormatException {
        StoreItem before = item("a", "ready", ENTRY_WRITTEN, ENTRY_WRITTEN);
        load(leader, ENTRY_WRITTEN, 0, before);
        load(follower, ENTRY_WRITTEN, 0, before);
        StoreItem changed = item(id, value, HEARTBEAT, createdRevision);
        List<StoreItem> peerItems = id.equals("a") ? List.of(changed) : List.of(before, changed);
        FleetState state = FleetState.decode(new FleetState(new byte[0], peerItems, HEARTBEAT, 0).encode());
        leader.mergePeerState(state.upstreams(), state.revision());
        leaderReceives(ENTRY_WRITTEN, HEARTBEAT, put(changed));
        followerReceives(ENTRY_WRITTEN);
        assertThat(String.join(",", usable(follower))).isEqualTo(expected);
    }

    // Guards against an instance that drops sound upstreams because the store failed again before their entries were
    // written again: neither an outage that is too short for an expiry nor the time without the store proves that an
    // upstream is gone.
    @ParameterizedTest
    @CsvSource({"6800, 500, 1500, true", "6800, 500, 4000, true", "2000, 300, 2000, false"})
    void upstreamIsKeptWhenStoreFailsAgainAfterItsReturn(
            long firstMs, long returnMs, long secondMs, boolean expiresAtFirstReturn) {
        load(leader, ENTRY_WRITTEN, 0, item("a", "ready", ENTRY_WRITTEN, ENTRY_WRITTEN));
        failStore(leader, firstMs);
        load(leader, ENTRY_WRITTEN + 1, firstMs, item("a", "ready", ENTRY_WRITTEN, ENTRY_WRITTEN));
        if (expiresAtFirstReturn) {
            leader.onChange(deletion("a", ENTRY_EXPIRED));
        }
        clock.advance(returnMs);
        failStore(leader, secondMs);
        assertWithMessage("upstreams in the second outage").that(usable(leader)).containsExactly("a");
        load(leader, FOLLOWER_SNAPSHOT, secondMs);
        clock.advance(REGISTRATION_MS);
        leader.removeExpired(clock.monotonicMs());
        assertWithMessage("upstreams before their registration")
                .that(usable(leader))
                .containsExactly("a");
        clock.advance(GRACE_PERIOD_MS - REGISTRATION_MS);
        leader.removeExpired(clock.monotonicMs());
        assertWithMessage("upstreams that were not registered again")
                .that(usable(leader))
                .isEmpty();
    }

    // Guards against an instance that starts in an outage, learns the upstreams from a peer, and drops them because
    // the store returns without their entries.
    @Test
    void instanceThatStartsInAnOutageKeepsUpstreamsOfPeer() {
        follower.onStoreUnavailable("connection refused");
        follower.mergePeerState(List.of(item("a", "ready", ENTRY_WRITTEN, ENTRY_WRITTEN)), HEARTBEAT);
        load(follower, FOLLOWER_SNAPSHOT, PrefixWatch.UNKNOWN_OUTAGE_MS);
        clock.advance(REGISTRATION_MS);
        follower.removeExpired(clock.monotonicMs());
        assertThat(usable(follower)).containsExactly("a");
        clock.advance(GRACE_PERIOD_MS - REGISTRATION_MS);
        follower.removeExpired(clock.monotonicMs());
        assertThat(usable(follower)).isEmpty();
    }

    // Guards against an instance that drops all upstreams after an outage because a peer reached the store first, and
    // had no upstreams to keep: it had just started.
    @Test
    void upstreamsMissingInThePeersStateAreKeptAfterAnOutage() {
        load(leader, ENTRY_WRITTEN, 0, item("a", "ready", ENTRY_WRITTEN, ENTRY_WRITTEN));
        failStore(leader, OUTAGE_MS);
        leader.mergePeerState(List.of(), FOLLOWER_SNAPSHOT);
        clock.advance(REGISTRATION_MS);
        leader.mergePeerState(List.of(), FOLLOWER_SNAPSHOT + 1);
        assertThat(usable(leader)).containsExactly("a");
        clock.advance(GRACE_PERIOD_MS - REGISTRATION_MS);
        leader.mergePeerState(List.of(), FOLLOWER_SNAPSHOT + 2);
        assertThat(usable(leader)).isEmpty();
    }

    // Guards against requests to an upstream that has left: an instance that is cut off from the store for a moment
    // learns of it from its peers.
    @Test
    void upstreamMissingInThePeersStateIsRemovedAtOnceWithoutAnOutage() {
        load(leader, ENTRY_WRITTEN, 0, item("a", "ready", ENTRY_WRITTEN, ENTRY_WRITTEN));
        failStore(leader, 400);
        leader.mergePeerState(List.of(), HEARTBEAT);
        assertThat(usable(leader)).isEmpty();
    }

    // Guards against responses to all followers at each heartbeat of each upstream.
    @Test
    void heartbeatIsNotPassedOn() throws JsonFormatException {
        load(leader, ENTRY_WRITTEN, 0, item("a", "ready", ENTRY_WRITTEN, ENTRY_WRITTEN));
        leaderReceives(ENTRY_WRITTEN, HEARTBEAT, put(item("a", "ready", HEARTBEAT, ENTRY_WRITTEN)));
        assertThat(requestChanges(ENTRY_WRITTEN)).isEmpty();
    }
}
