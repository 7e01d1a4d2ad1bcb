package org.cranberrybend.router.accept;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.util.Timeout;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.io.DeadlineSocket;

/** A caller connection: receives requests sequentially and passes each to the request handler. */
final class CallerConnection implements Runnable {
    private static final int MAX_HEADER_COUNT = 100;
    private static final int LINGER_MS = 1_000;
    private static final int LINGER_BYTES = 1 << 18;

    private final DeadlineSocket socket;
    private final AcceptLimits limits;
    private final TimeSource timeSource;
    private final RequestHandler handler;
    private final Supplier<String> requestIds;
    private final BooleanSupplier draining;
    private final DefaultBHttpServerConnection connection;
    private final AtomicReference<State> state = new AtomicReference<>(State.IDLE);
    private volatile String lastKeyId = "";

    /** Other threads close a connection only while it is idle, so that no in-flight request is interrupted. */
    private enum State {
        IDLE,
        BUSY,
        CLOSED
    }

    CallerConnection(DeadlineSocket socket, CallerListener listener) throws IOException {
        this.socket = socket;
        this.limits = listener.limits();
        this.timeSource = listener.timeSource();
        this.handler = listener.handler();
        this.requestIds = listener.requestIds();
        this.draining = listener::isDraining;
        this.connection = new DefaultBHttpServerConnection(
                "http",
                Http1Config.custom()
                        .setMaxHeaderCount(MAX_HEADER_COUNT)
                        .setMaxLineLength(limits.maxHeaderBytes())
                        .build());
        connection.bind(socket);
    }

    @Override
    public void run() {
        try {
            long firstWaitMs = limits.receiveTimeoutMs();
            while (serveNextRequest(firstWaitMs)) {
                firstWaitMs = limits.idleTimeoutMs();
            }
            connection.close();
        } catch (IOException | HttpException e) {
            closeNow();
        } catch (InterruptedException e) {
            closeNow();
            Thread.currentThread().interrupt();
        } finally {
            state.set(State.CLOSED);
            closeNow();
        }
    }

    private boolean serveNextRequest(long waitMs) throws IOException, HttpException, InterruptedException {
        socket.setReadDeadlineMs(DeadlineSocket.UNBOUNDED);
        connection.setSocketTimeout(Timeout.ofMilliseconds(limits.receiveTimeoutMs()));
        if (!connection.isDataAvailable(Timeout.ofMilliseconds(waitMs))
                || !state.compareAndSet(State.IDLE, State.BUSY)) {
            return false;
        }
        socket.setReadDeadlineMs(timeSource.monotonicMs() + limits.receiveTimeoutMs());
        CallerRequest request = receiveHeaders();
        if (request == null) {
            return false;
        }
        CallerResponse response = new CallerResponse(request, connection, draining);
        lastKeyId = handler.handle(request, response);
        if (!request.isBodyRead() || response.closesConnection() || !request.isPersistent()) {
            linger();
            return false;
        }
        state.set(State.IDLE);
        // Must follow the change to IDLE: an earlier revocation skipped this connection because it was busy.
        return !handler.isRevoked(lastKeyId);
    }

    /** Receives the request line and headers; returns null at the end of input or after responding with an error. */
    private CallerRequest receiveHeaders() throws IOException {
        socket.setReadLimitBytes(limits.maxHeaderBytes());
        RequestFailedException failure;
        try {
            ClassicHttpRequest http = connection.receiveRequestHeader();
            socket.setReadLimitBytes(DeadlineSocket.UNBOUNDED);
            if (http == null) {
                return null;
            }
            RequestFraming.check(http, limits.maxHeaderBytes());
            connection.receiveRequestEntity(http);
            return new CallerRequest(requestIds.get(), timeSource.monotonicMs(), http, connection, socket, limits);
        } catch (MessageConstraintException | RequestHeaderFieldsTooLargeException e) {
            failure = RequestFailedException.notRun(ErrorCode.HEADERS_TOO_LARGE);
        } catch (SocketTimeoutException e) {
            failure = RequestFailedException.notRun(ErrorCode.REQUEST_TIMEOUT, limits.receiveTimeoutMs());
        } catch (HttpException e) {
            failure = RequestFailedException.notRun(ErrorCode.INVALID_HEADER, "block", "malformed");
        } catch (RequestFailedException e) {
            failure = e;
        }
        refuse(failure);
        return null;
    }

    private void refuse(RequestFailedException failure) throws IOException {
        socket.setReadLimitBytes(DeadlineSocket.UNBOUNDED);
        ClassicHttpRequest unread = new BasicClassicHttpRequest("GET", "/");
        CallerRequest request =
                new CallerRequest(requestIds.get(), timeSource.monotonicMs(), unread, connection, socket, limits);
        new CallerResponse(request, connection, () -> true).sendError(failure);
        linger();
    }

    /**
     * Shuts down the output and discards further input. Closing a socket with unread input resets the connection, which
     * can discard the response before the caller reads it.
     */
    private void linger() throws IOException {
        socket.shutdownOutput();
        socket.setReadDeadlineMs(timeSource.monotonicMs() + LINGER_MS);
        byte[] discarded = new byte[8192];
        InputStream in = socket.getInputStream();
        try {
            for (int total = 0, count = 0; count >= 0 && total < LINGER_BYTES; total += count) {
                count = in.read(discarded);
            }
        } catch (SocketTimeoutException ignored) {
            // The time for lingering is over; the connection is closed with input unread.
        }
    }

    /** Closes the connection if it is idle and the key identifier of its last request matches. */
    void closeIfIdle(Predicate<String> keyIds) {
        if (keyIds.test(lastKeyId) && state.compareAndSet(State.IDLE, State.CLOSED)) {
            closeNow();
        }
    }

    boolean isBusy() {
        return state.get() == State.BUSY;
    }

    boolean isWriteBlockedSince(long monotonicMs) {
        return socket.isWriteBlockedSince(monotonicMs);
    }

    /** Closes the connection immediately. */
    void closeNow() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // The socket is closed regardless.
        }
    }
}
