package org.cranberrybend.entry.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.testing.RawCaller;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallerMemoryTest {
    private static final int MAX_HEAD_BYTES = 2_000;
    private static final int MAX_BODY_BYTES = 200_000;
    /** Leaves 250,000 bytes for large bodies: enough for one with its input buffer, but not for two. */
    private static final int HELD_BY_OTHERS_BYTES = 500_000;

    private static final String HEAD = "POST / HTTP/1.1\nHost: h\n";

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MessageMemoryLimit memory = new MessageMemoryLimit(1_000_000);
    private final Queue<ServerExchange> waiting = new ArrayDeque<>();
    private final HttpServer server = new HttpServer(
            loop,
            TimeSource.system(),
            this::handle,
            () -> new ServerLimits(MAX_HEAD_BYTES, MAX_BODY_BYTES, 60_000, 60_000),
            memory,
            new DecisionLog("instance", 1, TimeSource.system(), OutputStream.nullOutputStream()));
    private int port;

    private void handle(ReceivedRequest request, ServerExchange exchange) {
        if (request.head().getRequestUri().equals("/waiting")) {
            waiting.add(exchange);
        } else {
            byte[] text = ("length " + request.body().length + "!").getBytes(StandardCharsets.US_ASCII);
            exchange.respond(200, "OK", List.of(), text);
        }
    }

    @BeforeEach
    void listen() throws Exception {
        server.setMaxConnections(8);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        port = ((InetSocketAddress) server.listen(any).sync().channel().localAddress()).getPort();
    }

    @AfterEach
    void accountIsZeroWithoutConnections() throws Exception {
        await(() -> server.connectionCount() == 0);
        assertThat(loop.submit(memory::usedBytes).get()).isEqualTo(0);
        loop.shutdownGracefully(0, 10, TimeUnit.MILLISECONDS);
    }

    private void await(Callable<Boolean> condition) throws Exception {
        while (!loop.submit(condition).get()) {
            Thread.onSpinWait();
        }
    }

    private static String chunk(int bytes) {
        return Integer.toHexString(bytes) + "\n" + "x".repeat(bytes) + "\n";
    }

    // Guards against limits that a request within max_header_bytes and max_body_bytes reaches, and against heads of
    // many lines, trailers and bodies over them that are read on.
    @ParameterizedTest
    @CsvSource({
        // header lines, bytes of each, body as chunks, bytes of each, trailer lines of 500 bytes, expected response
        "0, 0, 0, 0, 0, 200",
        "3, 600, 0, 0, 0, 200",
        "4, 700, 0, 0, 0, 431",
        "190, 5, 0, 0, 0, 200",
        "0, 0, 1, 200000, 0, 200",
        "0, 0, 20000, 1, 0, 200",
        "0, 0, 2, 100000, 3, 200",
        "0, 0, 2, 100001, 0, 413",
        "0, 0, 1, 10, 150, 431",
    })
    void sizesAreLimitedAsAWhole(int headers, int headerBytes, int chunks, int chunkBytes, int trailers, int status)
            throws Exception {
        String request = HEAD
                + ("a:" + "b".repeat(Math.max(0, headerBytes - 2)) + "\n").repeat(headers)
                + (chunks > 0 ? "Transfer-Encoding: chunked\n\n" : "\n")
                + chunk(chunkBytes).repeat(chunks)
                + (chunks > 0 ? "0\n" + ("t:" + "b".repeat(498) + "\n").repeat(trailers) + "\n" : "");
        try (RawCaller caller = new RawCaller(port)) {
            String response = caller.send(request).readUntil(status == 200 ? "!" : "\r\n\r\n");
            assertThat(response).startsWith("HTTP/1.1 " + status);
            assertThat(response).contains(status == 200 ? "length " + chunks * chunkBytes + "!" : "close");
        }
    }

    // Guards against bodies that take the memory of requests in progress and of small requests (review/1).
    @Test
    void bodiesLeaveRoomForRequestsInProgressAndSmallOnes() throws Exception {
        loop.submit(() -> memory.tryAcquire(HELD_BY_OTHERS_BYTES)).get();
        try (RawCaller running = new RawCaller(port);
                RawCaller first = new RawCaller(port);
                RawCaller second = new RawCaller(port);
                RawCaller small = new RawCaller(port)) {
            running.send("GET /waiting HTTP/1.1\nHost: h\n\n");
            await(() -> waiting.size() == 1);
            first.send(HEAD + "Transfer-Encoding: chunked\n\n" + chunk(60_000));
            await(() -> memory.usedBytes() > HELD_BY_OTHERS_BYTES + 60_000);
            String refusal = second.send(HEAD + "Content-Length: 200000\n\n" + "x".repeat(199_000))
                    .readUntil("\r\n\r\n");
            assertThat(refusal).startsWith("HTTP/1.1 503");
            assertThat(small.send(HEAD + "Content-Length: 3\n\nabc").readUntil("!"))
                    .contains("length 3!");
            loop.submit(() ->
                            waiting.remove().respond(200, "OK", List.of(), "done!".getBytes(StandardCharsets.US_ASCII)))
                    .get();
            assertThat(running.readUntil("done!")).startsWith("HTTP/1.1 200");
            assertThat(first.send("0\n\n").readUntil("!")).contains("length 60000!");
        }
        loop.submit(() -> memory.release(HELD_BY_OTHERS_BYTES)).get();
    }

    // Guards against a declared length that takes memory before its bytes arrive.
    @Test
    void declaredLengthTakesNoMemory() throws Exception {
        try (RawCaller caller = new RawCaller(port)) {
            caller.send(HEAD + "Content-Length: 200000\n\nx");
            await(() -> memory.usedBytes() > BodyBuffer.FIRST_SEGMENT_BYTES);
            assertThat(loop.submit(memory::usedBytes).get()).isLessThan(40_000L);
        }
    }

    // Guards against a bound on connections that closes one with a request in progress, or that refuses new callers
    // while others hold connections without a request.
    @Test
    void connectionLongestWithoutARequestIsClosedForANewOne() throws Exception {
        RawCaller[] callers = new RawCaller[9];
        callers[0] = new RawCaller(port).send("GET /waiting HTTP/1.1\nHost: h\n\n");
        await(() -> waiting.size() == 1);
        for (int i = 1; i < callers.length; i++) {
            int count = Math.min(i + 1, 8);
            callers[i] = new RawCaller(port);
            await(() -> server.connectionCount() == count);
        }
        assertThat(callers[8].send("GET / HTTP/1.1\nHost: h\n\n").readUntil("!"))
                .contains("length 0!");
        assertThat(callers[1].readAll()).isEmpty();
        loop.submit(() -> waiting.remove().respond(200, "OK", List.of(), "done!".getBytes(StandardCharsets.US_ASCII)))
                .get();
        assertThat(callers[0].readUntil("done!")).startsWith("HTTP/1.1 200");
        assertThat(server.reclaimedConnections()).isEqualTo(1);
        for (RawCaller caller : callers) {
            caller.close();
        }
    }
}
