package org.cranberrybend.entry.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls to a server whose open connections become silent while new ones work. */
class ApiClientTest {
    private static final long SHORT_TIMEOUT_MS = 50;
    private static final long LONG_TIMEOUT_MS = 5_000;
    private static final long LONGEST_TIMEOUT_MS = 60_000;
    private static final long WAIT_S = 10;
    private static final long BYTE_INTERVAL_MS = 100;
    private static final int BYTES_OF_TWO_SECONDS = 20;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpConnector connector = Connectors.on(loop);
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private ScriptedUpstream server;
    private InetSocketAddress address;

    @BeforeEach
    void startServer() throws Exception {
        server = new ScriptedUpstream((request, connection) -> {
            connections.add(connection);
            if (!silent.contains(connection)) {
                ScriptedUpstream.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        });
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        timer.shutdownNow();
        loop.shutdownGracefully(0, 10, TimeUnit.MILLISECONDS);
    }

    private static CompletableFuture<ApiResponse> call(ApiClient client, long timeoutMs) {
        return client.call("GET", "/", List.of(), new byte[0], timeoutMs);
    }

    /** Calls at the same time, so that each call has its own connection, which is idle afterwards. */
    private void openConnections(ApiClient client, int count) throws Exception {
        List<CompletableFuture<ApiResponse>> calls = loop.submit(() -> {
                    List<CompletableFuture<ApiResponse>> started = new ArrayList<>();
                    for (int i = 0; i < count; i++) {
                        started.add(call(client, LONG_TIMEOUT_MS));
                    }
                    return started;
                })
                .get(WAIT_S, TimeUnit.SECONDS);
        for (CompletableFuture<ApiResponse> each : calls) {
            each.get(WAIT_S, TimeUnit.SECONDS);
        }
    }

    private int status(ApiClient client, long timeoutMs) throws Exception {
        return loop.submit(() -> call(client, timeoutMs))
                .get(WAIT_S, TimeUnit.SECONDS)
                .get(WAIT_S, TimeUnit.SECONDS)
                .status();
    }

    // Guards against calls that wait on one silent connection after the other: the first time-out shows that the other
    // connections to the address, whichever client of the process keeps them, may be silent too.
    @Test
    void timeoutDiscardsTheIdleConnectionsOfAllClients() throws Exception {
        ApiClient first = new ApiClient(loop, connector, address);
        ApiClient second = new ApiClient(loop, connector, address);
        openConnections(first, 3);
        openConnections(second, 3);
        silent.addAll(connections);
        assertThrows(ExecutionException.class, () -> status(first, SHORT_TIMEOUT_MS));
        assertThat(status(first, LONG_TIMEOUT_MS)).isEqualTo(200);
        assertThat(status(second, LONG_TIMEOUT_MS)).isEqualTo(200);
    }

    // Guards against a watch that begins on a connection that has been idle, and perhaps silent, for a long time.
    @Test
    void connectionIsClosedAfterItsLongestIdleTime() throws Exception {
        openConnections(new ApiClient(loop, connector, address, 1), 1);
        assertThat(server.awaitClosedConnection()).isTrue();
    }

    /** Sends a response of a number of bytes, one in each interval. */
    private ScriptedUpstream slowServer(int bytes) throws IOException {
        return new ScriptedUpstream((request, connection) -> {
            ScriptedUpstream.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n");
            AtomicInteger sent = new AtomicInteger();
            timer.scheduleAtFixedRate(
                    () -> {
                        if (sent.getAndIncrement() < bytes) {
                            writeByte(connection);
                        }
                    },
                    BYTE_INTERVAL_MS,
                    BYTE_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        });
    }

    private static void writeByte(Socket connection) {
        try {
            ScriptedUpstream.write(connection, "x");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // Guards against a response that is given up and requested again although it is arriving: behind a full link
    // none of the instances there would ever receive a snapshot. Guards also against a response that arrives
    // without end.
    @ParameterizedTest
    @CsvSource({"1000, 1000, 1000, false", "1000, 1000, 1500, false", "1000, 1000, 60000, true", "1, 1, 60000, false"})
    void responseMayTakeItsTimeWhileItArrives(long responseMs, long silenceMs, long totalMs, boolean succeeds)
            throws Exception {
        try (ScriptedUpstream slow = slowServer(BYTES_OF_TWO_SECONDS)) {
            ApiClient client = new ApiClient(
                    loop, connector, new InetSocketAddress(InetAddress.getLoopbackAddress(), slow.port()));
            CompletableFuture<ApiResponse> call = loop.submit(() -> client.call(
                            "GET", "/", List.of(), new byte[0], new CallLimits(responseMs, silenceMs, totalMs)))
                    .get(WAIT_S, TimeUnit.SECONDS);
            if (succeeds) {
                assertThat(call.get(WAIT_S, TimeUnit.SECONDS).body()).hasLength(BYTES_OF_TWO_SECONDS);
            } else {
                assertThrows(ExecutionException.class, () -> call.get(WAIT_S, TimeUnit.SECONDS));
            }
        }
    }

    // Guards against a call that goes on after its server has become silent within the response.
    @Test
    void silenceWithinAResponseEndsTheCall() throws Exception {
        Script script = (request, connection) ->
                ScriptedUpstream.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx");
        try (ScriptedUpstream half = new ScriptedUpstream(script)) {
            ApiClient client = new ApiClient(
                    loop, connector, new InetSocketAddress(InetAddress.getLoopbackAddress(), half.port()));
            CompletableFuture<ApiResponse> call = loop.submit(() -> client.call(
                            "GET",
                            "/",
                            List.of(),
                            new byte[0],
                            new CallLimits(LONG_TIMEOUT_MS, SHORT_TIMEOUT_MS, LONGEST_TIMEOUT_MS)))
                    .get(WAIT_S, TimeUnit.SECONDS);
            ExecutionException failure =
                    assertThrows(ExecutionException.class, () -> call.get(WAIT_S, TimeUnit.SECONDS));
            assertThat(((ApiCallException) failure.getCause()).isResponseBegun())
                    .isTrue();
        }
    }

    // Guards against a call of the store, of the platform or of a peer that takes a corrupted response for an answer.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\nContent-Length: 2",
                "HTTP/1.1 200 OK\r\nContent-Length : 2",
                "HTTP/1.1 200 OK\r\n Odd: 1\r\nContent-Length: 2",
                "HTTP/1.1 200 OK\r\nContent-Length: +2"
            })
    void corruptedResponseFailsTheCall(String head) throws Exception {
        Script script = (request, connection) -> ScriptedUpstream.write(connection, head + "\r\n\r\n{}");
        try (ScriptedUpstream corrupting = new ScriptedUpstream(script)) {
            InetSocketAddress other = new InetSocketAddress(InetAddress.getLoopbackAddress(), corrupting.port());
            ApiClient client = new ApiClient(loop, connector, other);
            assertThrows(ExecutionException.class, () -> status(client, LONG_TIMEOUT_MS));
        }
    }
}
