package org.cranberrybend.entry.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.testing.RawCaller;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpServerTest {
    private static final String FAILING = "GET /failing HTTP/1.1\nHost: h\nContent-Length: 2\n\nab";
    private static final String REQUEST = "GET / HTTP/1.1\nHost: h\n\n";

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MessageMemoryLimit memory = new MessageMemoryLimit(100_000);
    private final AtomicInteger disconnects = new AtomicInteger();
    private final HttpServer server = new HttpServer(
            loop,
            TimeSource.system(),
            this::handle,
            () -> new ServerLimits(8_192, 1_000, 60_000, 60_000),
            memory,
            new DecisionLog("instance", 1, TimeSource.system(), OutputStream.nullOutputStream()));

    private void handle(ReceivedRequest request, ServerExchange exchange) {
        if (request.head().getRequestUri().startsWith("/failing")) {
            exchange.onCallerDisconnected(disconnects::incrementAndGet);
            throw new IllegalStateException("unexpected");
        }
        exchange.respond(200, "OK", List.of(), "done".getBytes(StandardCharsets.US_ASCII));
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 10, TimeUnit.MILLISECONDS);
    }

    private int listen() throws Exception {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return ((InetSocketAddress) server.listen(any).sync().channel().localAddress()).getPort();
    }

    private void awaitConnections(int count) throws Exception {
        while (loop.submit(server::connectionCount).get() != count) {
            Thread.onSpinWait();
        }
    }

    // Guards against an unexpected error of one request that leaves its caller without an answer, keeps its memory, or
    // harms other callers.
    @Test
    void unexpectedErrorFailsOnlyItsRequest() throws Exception {
        int port = listen();
        try (RawCaller failing = new RawCaller(port);
                RawCaller other = new RawCaller(port)) {
            assertThat(failing.send(FAILING).readAll()).startsWith("HTTP/1.1 500");
            assertThat(other.send(REQUEST).readUntil("done")).startsWith("HTTP/1.1 200");
            assertThat(disconnects.get()).isEqualTo(1);
        }
        awaitConnections(0);
        assertThat(loop.submit(memory::usedBytes).get()).isEqualTo(0);
    }

    // Guards against a planned stop that cuts off a connection which was accepted just before, but whose request is
    // still in transit.
    @Test
    void requestOnAJustAcceptedConnectionIsAnsweredDuringAStop() throws Exception {
        int port = listen();
        try (RawCaller caller = new RawCaller(port)) {
            awaitConnections(1);
            loop.submit(server::closeGracefully).get();
            String response = caller.send(REQUEST).readAll();
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(response).contains("Connection: close");
        }
    }

    // Guards against a planned stop that resets connections which the kernel has accepted, but not yet the process.
    @Test
    void connectionsInTheBacklogAreServedDuringAStop() throws Exception {
        int port = listen();
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch connected = new CountDownLatch(1);
        Future<Void> stop = loop.submit(() -> {
            blocked.countDown();
            connected.await();
            server.closeGracefully();
            return null;
        });
        blocked.await();
        try (RawCaller caller = new RawCaller(port)) {
            caller.send(REQUEST);
            connected.countDown();
            stop.get();
            assertThat(caller.readAll()).startsWith("HTTP/1.1 200");
        }
    }

    // Guards against a stop that waits for connections without requests.
    @Test
    void idleConnectionIsClosedDuringAStop() throws Exception {
        int port = listen();
        try (RawCaller idle = new RawCaller(port)) {
            idle.send(REQUEST).readUntil("done");
            loop.submit(server::closeGracefully).get();
            loop.submit(() -> server.closeIdleConnections(0)).get();
            assertThat(idle.readAll()).isEmpty();
        }
    }
}
