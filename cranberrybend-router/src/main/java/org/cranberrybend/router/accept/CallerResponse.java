package org.cranberrybend.router.accept;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.cranberrybend.core.error.RequestFailedException;

/**
 * The response to a request. Every response carries {@code X-Request-Id}; a response to a request whose body was not
 * read closes the connection.
 */
public final class CallerResponse {
    private static final String REQUEST_ID = "X-Request-Id";

    private final CallerRequest request;
    private final DefaultBHttpServerConnection connection;
    private final BooleanSupplier draining;
    private boolean started;
    private boolean closeAfterResponse;

    CallerResponse(CallerRequest request, DefaultBHttpServerConnection connection, BooleanSupplier draining) {
        this.request = request;
        this.connection = connection;
        this.draining = draining;
    }

    /** Produces the body of a streamed response. */
    @FunctionalInterface
    public interface StreamBody {
        /** Writes the body, which ends when this method returns. */
        void writeTo(StreamSink sink) throws CallerDisconnectedException, InterruptedException;
    }

    /** Receives the chunks of a streamed response. */
    @FunctionalInterface
    public interface StreamSink {
        /** Sends bytes to the caller immediately. */
        void write(byte[] bytes) throws CallerDisconnectedException;
    }

    /** Returns whether the response was started. */
    public boolean isStarted() {
        return started;
    }

    boolean closesConnection() {
        return closeAfterResponse;
    }

    /** Sends a complete response. {@code headers} must not contain headers for the length or coding of the body. */
    public void send(int status, List<Header> headers, byte[] body, String contentType)
            throws CallerDisconnectedException {
        ClassicHttpResponse response = createHead(status, headers);
        boolean bodyAllowed = status >= 200 && status != 204 && status != 304;
        if (bodyAllowed) {
            if (!request.method().equals("HEAD")) {
                response.setHeader(HttpHeaders.CONTENT_LENGTH, body.length);
            }
            if (contentType != null) {
                response.setHeader(HttpHeaders.CONTENT_TYPE, contentType);
            }
        }
        try {
            connection.sendResponseHeader(response);
            if (bodyAllowed && !request.method().equals("HEAD")) {
                response.setEntity(new ByteArrayEntity(body, null));
                connection.sendResponseEntity(response);
            }
            connection.flush();
        } catch (IOException | HttpException e) {
            closeAfterResponse = true;
            throw new CallerDisconnectedException(e);
        }
    }

    /** Sends an error response. */
    public void sendError(RequestFailedException failure) throws CallerDisconnectedException {
        send(
                failure.code().httpStatus(),
                ErrorBody.retryAfterHeaders(failure),
                ErrorBody.toJson(failure, request.requestId()),
                ContentType.APPLICATION_JSON.getMimeType());
    }

    /** Sends a response of server-sent events; each write is flushed. */
    public void sendStream(StreamBody body) throws CallerDisconnectedException, InterruptedException {
        if (!request.isAtLeastHttp11()) {
            closeAfterResponse = true;
        }
        ClassicHttpResponse response = createHead(200, List.of());
        response.setHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream");
        response.setHeader(HttpHeaders.CACHE_CONTROL, "no-cache");
        if (request.isAtLeastHttp11()) {
            response.setHeader(HttpHeaders.TRANSFER_ENCODING, "chunked");
        }
        StreamEntity entity = new StreamEntity(body);
        response.setEntity(entity);
        try {
            connection.sendResponseHeader(response);
            connection.sendResponseEntity(response);
            connection.flush();
        } catch (IOException | HttpException e) {
            closeAfterResponse = true;
            throw e instanceof CallerDisconnectedException
                    ? (CallerDisconnectedException) e
                    : new CallerDisconnectedException(e);
        }
        if (entity.interruption != null) {
            closeAfterResponse = true;
            throw entity.interruption;
        }
    }

    private ClassicHttpResponse createHead(int status, List<Header> headers) {
        started = true;
        closeAfterResponse |= draining.getAsBoolean() || !request.isBodyRead() || !request.isPersistent();
        ClassicHttpResponse response = new BasicClassicHttpResponse(status);
        headers.forEach(response::addHeader);
        response.setHeader(REQUEST_ID, request.requestId());
        if (closeAfterResponse) {
            response.setHeader(HttpHeaders.CONNECTION, "close");
        }
        return response;
    }

    private static final class StreamEntity extends AbstractHttpEntity {
        private final StreamBody body;
        private InterruptedException interruption;

        StreamEntity(StreamBody body) {
            super((String) null, null, true);
            this.body = body;
        }

        @Override
        public void writeTo(OutputStream out) throws IOException {
            try {
                body.writeTo(bytes -> {
                    try {
                        out.write(bytes);
                        out.flush();
                    } catch (IOException e) {
                        throw new CallerDisconnectedException(e);
                    }
                });
            } catch (InterruptedException e) {
                interruption = e;
            }
        }

        @Override
        public InputStream getContent() {
            throw new UnsupportedOperationException("the body is written, not read");
        }

        @Override
        public boolean isStreaming() {
            return true;
        }

        @Override
        public long getContentLength() {
            return -1;
        }

        @Override
        public void close() {
            // Holds no resource.
        }
    }
}
