package org.cranberrybend.router.dispatch;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.util.Timeout;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.io.DeadlineSocket;
import org.cranberrybend.runtime.http.CheckedConnections;

/** A connection to an upstream, used by one call at a time. */
final class UpstreamConnection {
    private static final int MAX_HEADER_COUNT = 200;
    private static final int MAX_LINE_BYTES = 65_536;

    private final String address;
    private final DeadlineSocket socket;
    private final DefaultBHttpClientConnection http;
    private final TimeSource timeSource;
    private long releasedAtMs;
    private boolean reused;

    private UpstreamConnection(String address, DeadlineSocket socket, TimeSource timeSource) throws IOException {
        this.address = address;
        this.socket = socket;
        this.timeSource = timeSource;
        this.http = CheckedConnections.connection(Http1Config.custom()
                .setMaxHeaderCount(MAX_HEADER_COUNT)
                .setMaxLineLength(MAX_LINE_BYTES)
                .build());
        http.bind(socket);
    }

    static UpstreamConnection open(String host, int port, long connectTimeoutMs, TimeSource timeSource)
            throws IOException {
        DeadlineSocket socket = new DeadlineSocket(timeSource);
        try {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), (int) connectTimeoutMs);
            return new UpstreamConnection(host + ":" + port, socket, timeSource);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    String address() {
        return address;
    }

    /** Returns whether a byte of the current request may have been sent. */
    boolean mayHaveSent() {
        return socket.isOutputStarted();
    }

    void send(ClassicHttpRequest request, UpstreamCall call, CallAbortCheck abortCheck)
            throws IOException, HttpException {
        socket.resetOutputStarted();
        socket.setReadDeadlineMs(call.deadlineMs());
        socket.setReadAbortCheck(() -> {
            try {
                abortCheck.check();
            } catch (CallAbortedException e) {
                throw new CallAbortedIoException(e);
            }
        });
        http.setSocketTimeout(Timeout.ofMilliseconds(call.readTimeoutMs()));
        http.sendRequestHeader(request);
        http.sendRequestEntity(request);
        http.flush();
    }

    /** Receives the headers of the final response; interim responses are skipped. */
    ClassicHttpResponse receive() throws IOException, HttpException {
        while (true) {
            ClassicHttpResponse response = http.receiveResponseHeader();
            if (response == null) {
                throw new IOException("connection closed before the response");
            }
            if (response.getCode() >= 200) {
                return response;
            }
        }
    }

    void receiveEntity(ClassicHttpResponse response) throws IOException, HttpException {
        http.receiveResponseEntity(response);
    }

    /** Clears the deadline and abort check of the last call. */
    void endCall() {
        socket.setReadDeadlineMs(DeadlineSocket.UNBOUNDED);
        socket.setReadAbortCheck(null);
    }

    /** Returns whether the connection is open without unread input; called after a complete response. */
    boolean hasNoUnreadInput() {
        try {
            return http.isOpen() && http.isConsistent() && !http.isDataAvailable(Timeout.ofMilliseconds(1));
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns whether an idle connection is still open and has no unread input. Blocks for up to 1 ms. */
    boolean isReusable() {
        try {
            socket.setSoTimeout(1);
            InputStream in = socket.getInputStream();
            in.read();
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    void setReleasedAtMs(long nowMs) {
        releasedAtMs = nowMs;
        reused = true;
    }

    /** Returns whether an earlier call was made on this connection. */
    boolean isReused() {
        return reused;
    }

    long releasedAtMs() {
        return releasedAtMs;
    }

    void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // The socket is closed in any case.
        }
    }
}
