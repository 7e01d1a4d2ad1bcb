package org.cranberrybend.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpHeaders;

/** A response whose body is being received. Closing it prematurely closes the connection, which cancels the call. */
final class UpstreamResponse implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;

    private final ClassicHttpResponse response;
    private final UpstreamConnection connection;
    private final UpstreamCall call;
    private final UpstreamPool pool;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private InputStream content;
    private boolean ended;
    private boolean closed;

    UpstreamResponse(
            ClassicHttpResponse response, UpstreamConnection connection, UpstreamCall call, UpstreamPool pool) {
        this.response = response;
        this.connection = connection;
        this.call = call;
        this.pool = pool;
        HttpEntity entity = response.getEntity();
        this.ended = entity == null;
    }

    int status() {
        return response.getCode();
    }

    List<Header> headers() {
        return List.of(response.getHeaders());
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(response.getFirstHeader(name)).map(Header::getValue);
    }

    /**
     * Reads the next bytes of the body.
     *
     * @return the bytes, empty at the end of the body
     * @throws UpstreamFailure if the connection failed or the body is shorter than declared
     */
    byte[] read() throws UpstreamFailure, CallAbortedException {
        if (ended) {
            return new byte[0];
        }
        try {
            if (content == null) {
                content = response.getEntity().getContent();
            }
            int count = content.read(buffer);
            if (count < 0) {
                ended = true;
                return new byte[0];
            }
            byte[] bytes = new byte[count];
            System.arraycopy(buffer, 0, bytes, 0, count);
            return bytes;
        } catch (CallAbortedIoException e) {
            throw e.callAborted();
        } catch (SocketTimeoutException e) {
            throw UpstreamFailure.timeout(call.readTimeoutMs());
        } catch (IOException e) {
            throw UpstreamFailure.outcomeUnknown("the connection failed");
        }
    }

    /**
     * Reads the rest of the body.
     *
     * @throws UpstreamFailure also if the body exceeds {@code maxBytes}
     */
    byte[] readAll(int maxBytes) throws UpstreamFailure, CallAbortedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (byte[] bytes = read(); bytes.length > 0; bytes = read()) {
            if (body.size() + bytes.length > maxBytes) {
                throw UpstreamFailure.outcomeUnknown("the response exceeds " + maxBytes + " bytes");
            }
            body.writeBytes(bytes);
        }
        return body.toByteArray();
    }

    /** Returns the connection to the pool after a complete response on a persistent connection; otherwise closes it. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        boolean closing = header(HttpHeaders.CONNECTION)
                .filter(value -> value.equalsIgnoreCase("close"))
                .isPresent();
        boolean framed = response.getEntity() == null
                || response.getEntity().isChunked()
                || response.getEntity().getContentLength() >= 0;
        if (ended && framed && !closing) {
            pool.release(connection);
        } else {
            connection.close();
        }
    }
}
