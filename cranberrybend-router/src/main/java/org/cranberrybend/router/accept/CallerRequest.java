package org.cranberrybend.router.accept;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.router.io.DeadlineSocket;

/**
 * One request of a caller. The body is read on first access, so that the body of a request refused because of its
 * headers is not received. Accessed by the connection's thread only.
 */
public final class CallerRequest {
    private static final String CONTINUE = "100-continue";

    private final String requestId;
    private final long arrivalMs;
    private final ClassicHttpRequest http;
    private final DefaultBHttpServerConnection connection;
    private final DeadlineSocket socket;
    private final AcceptLimits limits;
    private final String path;
    private final String rawQuery;
    private byte[] body;
    private long receivedAtNanos = System.nanoTime();

    CallerRequest(
            String requestId,
            long arrivalMs,
            ClassicHttpRequest http,
            DefaultBHttpServerConnection connection,
            DeadlineSocket socket,
            AcceptLimits limits) {
        this.requestId = requestId;
        this.arrivalMs = arrivalMs;
        this.http = http;
        this.connection = connection;
        this.socket = socket;
        this.limits = limits;
        String target = http.getPath();
        int queryStart = target.indexOf('?');
        this.path = queryStart < 0 ? target : target.substring(0, queryStart);
        this.rawQuery = queryStart < 0 ? "" : target.substring(queryStart + 1);
    }

    /** Returns the request identifier assigned by the router. */
    public String requestId() {
        return requestId;
    }

    /** Returns when the headers were received, on the monotonic clock in milliseconds. */
    public long arrivalMs() {
        return arrivalMs;
    }

    /** Returns when the last byte was received, on the clock of {@link System#nanoTime()}; for metrics only. */
    public long receivedAtNanos() {
        return receivedAtNanos;
    }

    /** Returns the HTTP method. */
    public String method() {
        return http.getMethod();
    }

    /** Returns the path as sent, without the query. */
    public String path() {
        return path;
    }

    /** Returns the query as sent, or an empty string. */
    public String rawQuery() {
        return rawQuery;
    }

    /** Returns the value of the first header with the given name; names are case-insensitive. */
    public Optional<String> header(String name) {
        Header header = http.getFirstHeader(name);
        return header == null || header.getValue() == null ? Optional.empty() : Optional.of(header.getValue());
    }

    /** Returns all headers in order. */
    public List<Header> headers() {
        return new ArrayList<>(List.of(http.getHeaders()));
    }

    boolean isBodyRead() {
        return body != null || http.getEntity() == null;
    }

    boolean isAtLeastHttp11() {
        return http.getVersion() == null || http.getVersion().greaterEquals(HttpVersion.HTTP_1_1);
    }

    boolean isPersistent() {
        String connectionHeader = header(HttpHeaders.CONNECTION).orElse("");
        return isAtLeastHttp11() && !connectionHeader.toLowerCase(Locale.ROOT).contains("close");
    }

    /**
     * Returns the complete body; trailers are discarded.
     *
     * @throws RequestFailedException if the body is too large, too slow or malformed
     * @throws CallerDisconnectedException if the caller disconnected
     */
    public byte[] body() throws RequestFailedException, CallerDisconnectedException {
        if (body != null) {
            return body;
        }
        if (http.getEntity() == null) {
            markReceived(new byte[0]);
            return body;
        }
        int maxBytes = limits.maxBodyBytes();
        if (http.getEntity().getContentLength() > maxBytes) {
            throw RequestFailedException.notRun(ErrorCode.BODY_TOO_LARGE, maxBytes);
        }
        try {
            sendContinueIfExpected();
            byte[] received = http.getEntity().getContent().readNBytes(maxBytes + 1);
            if (received.length > maxBytes) {
                throw RequestFailedException.notRun(ErrorCode.BODY_TOO_LARGE, maxBytes);
            }
            markReceived(received);
            return body;
        } catch (SocketTimeoutException e) {
            throw RequestFailedException.notRun(ErrorCode.REQUEST_TIMEOUT, limits.receiveTimeoutMs());
        } catch (MalformedChunkCodingException e) {
            throw RequestFailedException.notRun(ErrorCode.INVALID_HEADER, "Transfer-Encoding", "malformed chunk");
        } catch (IOException | HttpException e) {
            throw new CallerDisconnectedException(e);
        }
    }

    private void markReceived(byte[] received) {
        body = received;
        receivedAtNanos = System.nanoTime();
        // After the deadline, isCallerDisconnected could not detect the end of the input.
        socket.setReadDeadlineMs(DeadlineSocket.UNBOUNDED);
    }

    private void sendContinueIfExpected() throws IOException, HttpException {
        Optional<String> expect = header(HttpHeaders.EXPECT);
        if (expect.isPresent() && expect.get().equalsIgnoreCase(CONTINUE)) {
            try (ClassicHttpResponse interim = new BasicClassicHttpResponse(100)) {
                connection.sendResponseHeader(interim);
                connection.flush();
            }
        }
    }

    /**
     * Returns whether the caller closed its side of the connection. Blocks for up to 1 ms. A caller that only shuts
     * down its output counts as disconnected, because the two cases cannot be distinguished without writing.
     */
    public boolean isCallerDisconnected() {
        try {
            return connection.isStale();
        } catch (IOException e) {
            return true;
        }
    }
}
