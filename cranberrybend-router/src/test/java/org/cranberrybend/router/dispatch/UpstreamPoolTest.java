package org.cranberrybend.router.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.router.RouterHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections to upstreams are reused only if they are recent, open and without unread input. */
class UpstreamPoolTest {
    private final ManualTimeSource timeSource = new ManualTimeSource(0);
    private final UpstreamPool pool = new UpstreamPool(timeSource, 5_000);
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        pool.closeAll();
        server.close();
    }

    private UpstreamConnection lease(boolean reuse) throws IOException {
        return pool.lease("127.0.0.1", server.getLocalPort(), reuse);
    }

    /**
     * Guards against an unnecessary connect, and against a reused connection for a request
     * that must not be executed twice.
     */
    @Test
    void reusesOnlyWhenAllowed() throws Exception {
        UpstreamConnection first = lease(true);
        pool.release(first);
        assertThat(lease(false)).isNotSameInstanceAs(first);
        assertThat(lease(true)).isSameInstanceAs(first);
    }

    /** Guards against reuse of a connection that the network path may have silently dropped. */
    @Test
    void closesExpiredConnections() throws Exception {
        UpstreamConnection first = lease(true);
        pool.release(first);
        timeSource.advanceMs(UpstreamPool.MAX_IDLE_MS - 1);
        assertThat(lease(true)).isSameInstanceAs(first);
        pool.release(first);
        timeSource.advanceMs(UpstreamPool.MAX_IDLE_MS);
        assertThat(lease(true)).isNotSameInstanceAs(first);
        pool.release(lease(true));
        timeSource.advanceMs(UpstreamPool.MAX_IDLE_MS);
        pool.closeExpired();
        assertThat(pool.idleCount()).isEqualTo(0);
    }

    /** Guards against a delayed response that the next request on the connection would accept as its own. */
    @Test
    void closesConnectionsWithUnreadBytes() throws Exception {
        UpstreamConnection first = lease(true);
        try (Socket accepted = server.accept()) {
            accepted.getOutputStream().write(new byte[] {1});
            RouterHarness.await(() -> !first.hasNoUnreadInput());
            pool.release(first);
            assertThat(pool.idleCount()).isEqualTo(0);
        }
    }

    /** Guards against a request on a connection that the upstream closed or wrote to while it was idle. */
    @Test
    void probesIdleConnections() throws Exception {
        UpstreamConnection closed = lease(true);
        Socket accepted = server.accept();
        pool.release(closed);
        accepted.close();
        RouterHarness.await(() -> !closed.isReusable());
        assertThat(lease(true)).isNotSameInstanceAs(closed);
    }

    /** Guards against a read timeout on each of several dropped connections in turn. */
    @Test
    void closesAllIdleConnectionsAfterReadTimeout() throws Exception {
        UpstreamConnection first = lease(true);
        UpstreamConnection second = lease(true);
        assertThat(first.isReused()).isFalse();
        pool.release(first);
        pool.release(second);
        assertThat(lease(true).isReused()).isTrue();
        pool.closeAllAfterReadTimeout();
        assertThat(pool.idleCount()).isEqualTo(0);
    }
}
