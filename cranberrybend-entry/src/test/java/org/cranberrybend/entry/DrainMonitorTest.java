package org.cranberrybend.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.MessageMemoryLimit;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.request.RequestsInProgress;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class DrainMonitorTest {
    private static final long SHUTDOWN_LIMIT_MS = 8_000;
    /** Limit of tests that wait for a refused connection. */
    private static final long TEST_LIMIT_S = 60;

    private final TestClock clock = new TestClock();
    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    /** Accepts requests and never responds. */
    private final HttpServer server = new HttpServer(
            loop,
            clock,
            (request, exchange) -> {},
            () -> new ServerLimits(8_192, 1_000, 60_000, 60_000),
            new MessageMemoryLimit(100_000),
            new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream()));

    private final AtomicBoolean drained = new AtomicBoolean();
    private final DrainMonitor monitor =
            new DrainMonitor(server, new RequestsInProgress(), clock, SHUTDOWN_LIMIT_MS, () -> drained.set(true));

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 10, TimeUnit.MILLISECONDS);
    }

    private int listen() throws Exception {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return ((InetSocketAddress) server.listen(any).sync().channel().localAddress()).getPort();
    }

    private void check() throws Exception {
        loop.submit(monitor::check).get();
    }

    /**
     * Connects until a connection is refused. The event loop closes a listening socket with its next selection, so that
     * the kernel may complete connections for a moment after the call; nobody accepts them.
     */
    private static void awaitRefusal(int port) {
        boolean refused = false;
        while (!refused) {
            try (RawCaller late = new RawCaller(port)) {
                Thread.onSpinWait();
            } catch (IOException e) {
                refused = true;
            }
        }
    }

    // Guards against refused connections while the load balancer still uses this instance.
    @Test
    void connectionsAreAcceptedUntilBalancerStops() throws Exception {
        int port = listen();
        clock.advance(2_500);
        check();
        try (RawCaller caller = new RawCaller(port)) {
            assertThat(drained.get()).isFalse();
        }
    }

    // Guards against a drain that waits for idle connections.
    @Test
    void idleInstanceEndsAfterNoticePeriod() throws Exception {
        int port = listen();
        try (RawCaller idle = new RawCaller(port)) {
            // A connection that the server has not accepted yet is reset with the listener.
            while (loop.submit(server::connectionCount).get() == 0) {
                Thread.onSpinWait();
            }
            clock.advance(2_700);
            check();
            assertThat(idle.readAll()).isEmpty();
            clock.advance(200);
            check();
            assertThat(drained.get()).isTrue();
        }
    }

    // Guards against a request that is taken late in the stop, so that its stream is cut off at the shutdown limit.
    // Seen with a chat that was taken 5.7 s after the signal.
    @Test
    @Timeout(TEST_LIMIT_S)
    void noRequestIsTakenLongAfterTheStopSignal() throws Exception {
        int port = listen();
        clock.advance(2_650);
        check();
        try (RawCaller accepted = new RawCaller(port)) {
            while (loop.submit(server::connectionCount).get() == 0) {
                Thread.onSpinWait();
            }
            clock.advance(50);
            check();
            awaitRefusal(port);
            assertThat(drained.get()).isFalse();
            clock.advance(200);
            check();
            assertThat(accepted.readAll()).isEmpty();
        }
    }

    // Guards against connections that are accepted after the drain and cut off by the exit of the process.
    @Test
    @Timeout(TEST_LIMIT_S)
    void noConnectionIsAcceptedOnceDrained() throws Exception {
        int port = listen();
        clock.advance(2_700);
        check();
        try (RawCaller late = new RawCaller(port)) {
            assertThat(drained.get()).isFalse();
        }
        while (!drained.get()) {
            clock.advance(200);
            check();
        }
        awaitRefusal(port);
    }

    // Guards against a drain that ends with a request in flight before the limit, or that exceeds the limit.
    @Test
    void inFlightRequestIsAwaitedUntilLimit() throws Exception {
        int port = listen();
        try (RawCaller busy = new RawCaller(port)) {
            busy.send("GET / HTTP/1.1\nHost: h\n\n");
            while (loop.submit(server::activeConnectionCount).get() == 0) {
                Thread.onSpinWait();
            }
            clock.advance(7_000);
            check();
            clock.advance(300);
            check();
            assertThat(drained.get()).isFalse();
            clock.advance(200);
            check();
            assertThat(drained.get()).isTrue();
        }
    }
}
