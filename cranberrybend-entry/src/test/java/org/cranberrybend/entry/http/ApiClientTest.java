package org.cranberrybend.entry.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls to a server whose open connections become silent while new ones work. */
class ApiClientTest {
    private static final long SHORT_TIMEOUT_MS = 50;
    private static final long LONG_TIMEOUT_MS = 5_000;
    private static final long WAIT_S = 10;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpConnector connector = Connectors.on(loop);
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
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
