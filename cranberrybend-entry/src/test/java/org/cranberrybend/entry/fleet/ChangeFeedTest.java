package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.testing.ManualScheduler;
import org.cranberrybend.entry.testing.ResponseRecorder;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A leader that has no changes for its followers. */
class ChangeFeedTest {
    private static final String PREFIX = "upstreams/";
    private static final long HOLD_MS = 400;
    private static final int STATUS_NOT_COVERED = 409;

    private final TestClock clock = new TestClock();
    private final ManualScheduler loop = new ManualScheduler();

    private final StoreEpoch epoch = new StoreEpoch();
    private final ChangeFeed feed = newFeed(loop);
    private final ResponseRecorder exchange = new ResponseRecorder();

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    // Guards against a leader that confirms an old state although the store has been silent, and against followers that
    // all watch the store themselves because it was silent for a moment.
    @ParameterizedTest
    @CsvSource({"500, 200", "1000, 200", "1300, 200", "1600, 503", "5000, 503"})
    void emptyResponseNeedsARecentResponseOfTheStore(long silenceMs, int expectedStatus) {
        feed.onWatchStarted(PREFIX, 10);
        feed.onStoreResponse();
        clock.advance(silenceMs - HOLD_MS);
        poll(10);
        clock.advance(HOLD_MS);
        loop.runNext();
        assertThat(exchange.status()).isEqualTo(expectedStatus);
    }

    private ChangeFeed newFeed(ScheduledExecutorService timers) {
        return new ChangeFeed(
                timers, epoch, clock, new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream()));
    }

    private ReceivedRequest request(long afterRevision, long waitMs) {
        String target = ChangeFeed.PATH + "?prefix=upstreams%2F&after=" + afterRevision + "&wait_ms=" + waitMs;
        return new ReceivedRequest(new BasicHttpRequest("POST", target), new byte[0], clock.monotonicMs());
    }

    private void poll(long afterRevision) {
        feed.handle(request(afterRevision, HOLD_MS), exchange);
    }

    // The store comes back from an older copy: guards against a leader that confirms the state of the lost time to a
    // follower that has learned of it, or the new state to one that has not.
    @ParameterizedTest
    @CsvSource({"0, 1", "1, 0"})
    void followerOfAnotherEpochGetsNoConfirmation(long epochOfLeader, long epochOfFollower) {
        epoch.observe(epochOfLeader);
        feed.onWatchStarted(PREFIX, StoreRevision.of(epochOfLeader, 5));
        feed.onStoreResponse();
        poll(StoreRevision.of(epochOfFollower, 7));
        assertThat(exchange.status()).isEqualTo(STATUS_NOT_COVERED);
    }

    private void requestSnapshot() {
        String target = ChangeFeed.SNAPSHOT_PATH + "?prefix=upstreams%2F";
        feed.handle(
                new ReceivedRequest(new BasicHttpRequest("POST", target), new byte[0], clock.monotonicMs()), exchange);
    }

    private void readSnapshot(long revision) {
        StoreItem item = new StoreItem("upstreams/a", new byte[] {1}, revision, revision, 0);
        epoch.observe(StoreRevision.epochOf(revision));
        feed.onSnapshot(PREFIX, new StoreSnapshot(List.of(item), revision));
        feed.onWatchStarted(PREFIX, revision);
    }

    // Guards against a follower that reads from the store because its leader does not have the changes any more.
    @Test
    void followerBehindTheLogIsToldToReadASnapshot() throws JsonFormatException {
        readSnapshot(10);
        feed.onStoreResponse();
        poll(7);
        assertThat(exchange.status()).isEqualTo(ChangeFeed.STATUS_SNAPSHOT_NEEDED);
        StoreItem changed = new StoreItem("upstreams/a", new byte[] {2}, 12, 10, 0);
        feed.append(
                PREFIX, 10, new StoreChanges(List.of(new StoreChange(changed.key(), 12, Optional.of(changed))), 12));
        requestSnapshot();
        StoreSnapshot snapshot = ChangeFormat.decodeSnapshot(exchange.body());
        assertThat(snapshot.revision()).isEqualTo(12);
        assertThat(snapshot.items().get(0).value()).isEqualTo(new byte[] {2});
    }

    // Guards against a snapshot from an instance that may have missed changes.
    @ParameterizedTest
    @CsvSource({"0, false, false, 200", "1600, false, false, 503", "0, true, false, 503", "0, false, true, 409"})
    void snapshotNeedsAnUpToDateInstance(long silenceMs, boolean failed, boolean follows, int expectedStatus) {
        feed.onStoreResponse();
        readSnapshot(10);
        clock.advance(silenceMs);
        if (failed) {
            feed.onWatchFailed(PREFIX);
        }
        if (follows) {
            feed.onFollowed(PREFIX, new StoreChanges(List.of(), 11));
        }
        requestSnapshot();
        assertThat(exchange.status()).isEqualTo(expectedStatus);
    }

    // Guards against a follower that waits for the hold time before it learns that the leader has lost the store.
    @Test
    void leaderWhoseWatchFailedRefusesAtOnce() {
        readSnapshot(10);
        feed.onStoreResponse();
        feed.onWatchFailed(PREFIX);
        poll(10);
        assertThat(exchange.status()).isEqualTo(503);
    }

    // Guards against a copy of a large value for each follower that waits: 86 copies of a configuration of 1 MB in
    // base64 text do not fit the heap of the instance that leads them.
    @Test
    void followersAtTheSameRevisionShareOneResponse() {
        ScheduledExecutorService holdTimers = Executors.newSingleThreadScheduledExecutor();
        ChangeFeed holding = newFeed(holdTimers);
        ResponseRecorder other = new ResponseRecorder();
        holding.onWatchStarted(PREFIX, 10);
        holding.onStoreResponse();
        for (ResponseRecorder each : List.of(exchange, other)) {
            holding.handle(request(10, TimeUnit.HOURS.toMillis(1)), each);
        }
        StoreItem item = new StoreItem("upstreams/a", new byte[1_000], 12, 12, 0);
        holding.append(
                PREFIX, 10, new StoreChanges(List.of(new StoreChange("upstreams/a", 12, Optional.of(item))), 12));
        holdTimers.shutdownNow();
        assertThat(List.of(exchange.status(), other.status())).containsExactly(200, 200);
        assertThat(exchange.sharesBodyWith(other)).isTrue();
    }
}
