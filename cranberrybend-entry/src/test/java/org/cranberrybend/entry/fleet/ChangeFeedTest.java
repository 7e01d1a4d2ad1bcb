package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.testing.ManualScheduler;
import org.cranberrybend.entry.testing.ResponseRecorder;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A leader that has no changes for its followers. */
class ChangeFeedTest {
    private static final String PREFIX = "upstreams/";
    private static final long HOLD_MS = 400;

    private final TestClock clock = new TestClock();
    private final ManualScheduler loop = new ManualScheduler();

    private final ChangeFeed feed =
            new ChangeFeed(loop, clock, new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream()));
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
        String target = ChangeFeed.PATH + "?prefix=upstreams%2F&after=10&wait_ms=" + HOLD_MS;
        feed.handle(
                new ReceivedRequest(new BasicHttpRequest("POST", target), new byte[0], clock.monotonicMs()), exchange);
        clock.advance(HOLD_MS);
        loop.runNext();
        assertThat(exchange.status()).isEqualTo(expectedStatus);
    }
}
