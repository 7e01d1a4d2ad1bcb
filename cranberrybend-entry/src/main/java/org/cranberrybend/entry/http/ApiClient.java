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
import org.cranberrybend.entry.http.ApiCallException.Progress;

/**
 * Calls an API of the platform over persistent connections.
 *
 * <p>A call that times out resets its connection. Data of the call that is still in transit is then discarded, and
 * later calls do not use this connection, whose other end may be unresponsive. The idle connections to the same address
 * may be unresponsive for the same reason, so those of all clients of the connector are closed.
 */
public final class ApiClient {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** Largest response; several times the size of the largest page of the store. */
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    private static final long UNLIMITED = -1;

    private final HttpConnector connector;
    private final EventLoopGroup loop;
    private final InetSocketAddress address;
    private final long maxIdleMs;
    private final Deque<IdleConnection> idle = new ArrayDeque<>();

    private record IdleConnection(ClientConnection connection, ScheduledFuture<?> closing) {}

    /** Creates a client for the API at an address whose connections may be idle for any time. */
    public ApiClient(EventLoopGroup loop, HttpConnector connector, InetSocketAddress address) {
        this(loop, connector, address, UNLIMITED);
    }

    /**
     * Creates a client for the API at an address.
     *
     * @param maxIdleMs time after which an idle connection is closed, in milliseconds
     */
    public ApiClient(EventLoopGroup loop, HttpConnector connector, InetSocketAddress address, long maxIdleMs) {
        this.loop = loop;
        this.connector = connector;
        this.address = address;
        this.maxIdleMs = maxIdleMs;
        connector.onDiscardIdle(address, this::discardIdle);
    }

    /** Sends a request whose response must be complete within a time, in milliseconds. */
    public CompletableFuture<ApiResponse> call(
            String method, String target, List<Header> headers, byte[] body, long timeoutMs) {
        return call(method, target, headers, body, CallLimits.total(timeoutMs));
    }

    /** Sends a request; the future completes on the event loop, on failure with an {@link ApiCallException}. */
    public CompletableFuture<ApiResponse> call(
            String method, String target, List<Header> headers, byte[] body, CallLimits limits) {
        Call call = new Call(method, target, headers, body, limits);
        call.startTimers();
        ClientConnection connection = pollIdle();
        if (connection != null) {
            call.send(connection);
        } else {
            int connectMs = (int) Math.min(CONNECT_TIMEOUT_MS, limits.responseMs());
            call.cancelConnect = connector.connect(address, connectMs, this::removeIdle, call);
        }
        return call.result;
    }

    private ClientConnection pollIdle() {
        while (!idle.isEmpty()) {
            IdleConnection last = idle.pollLast();
            cancelClosing(last);
            if (last.connection.isOpen()) {
                return last.connection;
            }
        }
        return null;
    }

    private void addIdle(ClientConnection connection) {
        idle.addLast(new IdleConnection(
                connection,
                maxIdleMs == UNLIMITED ? null : loop.schedule(connection::close, maxIdleMs, TimeUnit.MILLISECONDS)));
    }

    private void removeIdle(ClientConnection closed) {
        idle.removeIf(each -> {
            boolean removed = each.connection == closed;
            if (removed) {
                cancelClosing(each);
            }
            return removed;
        });
    }

    private static void cancelClosing(IdleConnection idleConnection) {
        if (idleConnection.closing != null) {
            idleConnection.closing.cancel(false);
        }
    }

    private void discardIdle() {
        List<IdleConnection> discarded = new ArrayList<>(idle);
        idle.clear();
        discarded.forEach(each -> {
            cancelClosing(each);
            each.connection.close();
        });
    }

    private final class Call implements HttpConnector.Listener, ClientConnection.ResponseListener {
        private final String method;
        private final String target;
        private final List<Header> headers;
        private final byte[] body;
        private final CallLimits limits;
        private final CompletableFuture<ApiResponse> result = new CompletableFuture<>();
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();
        private ScheduledFuture<?> totalTimer;
        private ScheduledFuture<?> silenceTimer;
        private Runnable cancelConnect;
        private ClientConnection connection;
        private HttpResponse head;
        /** Whether a part of the response has arrived since the timer of the silence was set. */
        private boolean receiving;

        Call(String method, String target, List<Header> headers, byte[] body, CallLimits limits) {
            this.method = method;
            this.target = target;
            this.headers = new ArrayList<>(headers);
            this.headers.add(new BasicHeader(HttpHeaders.HOST, address.getHostString() + ":" + address.getPort()));
            this.body = body;
            this.limits = limits;
        }

        private void startTimers() {
            totalTimer = loop.schedule(this::onTimeout, limits.totalMs(), TimeUnit.MILLISECONDS);
            if (limits.responseMs() < limits.totalMs()) {
                awaitPart(limits.responseMs());
            }
        }

        /** Ends the call after a time without a part of the response. */
        private void awaitPart(long durationMs) {
            receiving = false;
            silenceTimer = loop.schedule(this::checkSilence, durationMs, TimeUnit.MILLISECONDS);
        }

        private void checkSilence() {
            if (receiving) {
                awaitPart(limits.silenceMs());
            } else {
                onTimeout();
            }
        }

        private void cancelTimers() {
            totalTimer.cancel(false);
            if (silenceTimer != null) {
                silenceTimer.cancel(false);
            }
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
            fail(new ApiCallException("cannot connect to " + address + ": " + cause, Progress.NOT_SENT));
        }

        @Override
        public void onHead(HttpResponse responseHead) {
            head = responseHead;
            if (silenceTimer != null) {
                silenceTimer.cancel(false);
                awaitPart(limits.silenceMs());
            }
        }

        @Override
        public void onBody(ByteBuffer piece) {
            receiving = true;
            received.write(piece.array(), piece.position(), piece.remaining());
            if (received.size() > MAX_RESPONSE_BYTES) {
                connection.reset();
                fail(new ApiCallException(
                        method + " " + address + ": response exceeds " + MAX_RESPONSE_BYTES + " bytes",
                        Progress.RESPONSE_BEGUN));
            }
        }

        @Override
        public int keptBytes() {
            return received.size();
        }

        @Override
        public void onComplete() {
            cancelTimers();
            if (connection.isOpen()) {
                addIdle(connection);
            }
            result.complete(new ApiResponse(head, received.toByteArray()));
        }

        @Override
        public void onFailure(String cause, boolean responseStarted) {
            Progress progress = responseStarted ? Progress.RESPONSE_BEGUN : Progress.SENT;
            fail(new ApiCallException(method + " " + address + ": " + cause, progress));
        }

        private void onTimeout() {
            Progress progress = progress();
            if (progress != Progress.NOT_SENT) {
                connection.reset();
                connector.discardIdle(address);
            } else if (cancelConnect != null) {
                cancelConnect.run();
            }
            fail(new ApiCallException(method + " " + address + ": no response within the time limit", progress));
        }

        private Progress progress() {
            if (connection == null) {
                return Progress.NOT_SENT;
            }
            return head == null ? Progress.SENT : Progress.RESPONSE_BEGUN;
        }

        private void fail(ApiCallException failure) {
            cancelTimers();
            result.completeExceptionally(failure);
        }
    }
}
