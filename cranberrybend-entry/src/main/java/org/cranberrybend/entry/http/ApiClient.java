package org.cranberrybend.entry.http;

import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHeader;

/**
 * Calls an API of the platform over kept connections.
 *
 * <p>A call that reaches its time limit resets its connection: what the network still holds of it is discarded, and the
 * next call takes a new connection, because the old one may have gone silent.
 */
public final class ApiClient {
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final HttpConnector connector;
    private final EventLoopGroup loop;
    private final InetSocketAddress address;
    private final Deque<ClientConnection> idle = new ArrayDeque<>();

    /** Creates a client of the API at an address. */
    public ApiClient(EventLoopGroup loop, HttpConnector connector, InetSocketAddress address) {
        this.loop = loop;
        this.connector = connector;
        this.address = address;
    }

    /** Makes a call; the future completes on the event loop, exceptionally with an {@link ApiCallException}. */
    public CompletableFuture<ApiResponse> call(
            String method, String target, List<Header> headers, byte[] body, long timeoutMs) {
        Call call = new Call(method, target, headers, body);
        call.timer = loop.schedule(call::timeOut, timeoutMs, TimeUnit.MILLISECONDS);
        ClientConnection connection = nextIdle();
        if (connection != null) {
            call.send(connection);
        } else {
            int connectMs = (int) Math.min(CONNECT_TIMEOUT_MS, timeoutMs);
            call.abandonConnect = connector.connect(address, connectMs, idle::remove, call);
        }
        return call.result;
    }

    private ClientConnection nextIdle() {
        while (!idle.isEmpty()) {
            ClientConnection connection = idle.pollLast();
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    private final class Call implements HttpConnector.Listener, ClientConnection.ResponseListener {
        private final String method;
        private final String target;
        private final List<Header> headers;
        private final byte[] body;
        private final CompletableFuture<ApiResponse> result = new CompletableFuture<>();
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();
        private ScheduledFuture<?> timer;
        private Runnable abandonConnect;
        private ClientConnection connection;
        private int status;

        Call(String method, String target, List<Header> headers, byte[] body) {
            this.method = method;
            this.target = target;
            this.headers = new ArrayList<>(headers);
            this.headers.add(new BasicHeader(HttpHeaders.HOST, address.getHostString() + ":" + address.getPort()));
            this.body = body;
        }

        void send(ClientConnection established) {
            connection = established;
            connection.send(method, target, headers, body, this);
        }

        @Override
        public void onConnected(ClientConnection established) {
            if (result.isDone()) {
                established.close();
            } else {
                send(established);
            }
        }

        @Override
        public void onFailure(String cause) {
            finish(new ApiCallException("cannot connect to " + address + ": " + cause, false));
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.getCode();
        }

        @Override
        public void onBody(ByteBuffer piece) {
            received.write(piece.array(), piece.position(), piece.remaining());
        }

        @Override
        public void onComplete() {
            timer.cancel(false);
            if (connection.isOpen()) {
                idle.addLast(connection);
            }
            result.complete(new ApiResponse(status, received.toByteArray()));
        }

        @Override
        public void onFailure(String cause, boolean anyResponseByte) {
            finish(new ApiCallException(method + " " + address + ": " + cause, true));
        }

        private void timeOut() {
            boolean sent = connection != null;
            if (sent) {
                connection.reset();
            } else if (abandonConnect != null) {
                abandonConnect.run();
            }
            finish(new ApiCallException(method + " " + address + ": no response in time", sent));
        }

        private void finish(ApiCallException failure) {
            timer.cancel(false);
            result.completeExceptionally(failure);
        }
    }
}
