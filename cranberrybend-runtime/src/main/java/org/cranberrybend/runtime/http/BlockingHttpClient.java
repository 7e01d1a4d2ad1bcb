package org.cranberrybend.runtime.http;

import java.io.IOException;
import java.net.URI;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Blocking HTTP client for small JSON messages. Every socket read has a timeout; a connection that timed out is closed,
 * and a later call opens a new one.
 */
public final class BlockingHttpClient implements AutoCloseable {
    private static final int MAX_CONNECTIONS_PER_ROUTE = 32;
    private static final int MAX_CONNECTIONS = 256;
    private static final int CONNECTION_TTL_SECONDS = 15;

    private final Timeout connectTimeout;
    private final HttpRequester requester;

    /** Creates a client with its timeouts in milliseconds. */
    public BlockingHttpClient(long connectTimeoutMs, long readTimeoutMs) {
        this.connectTimeout = Timeout.ofMilliseconds(connectTimeoutMs);
        this.requester = RequesterBootstrap.bootstrap()
                .setConnectionFactory(CheckedConnections.factory())
                .setSocketConfig(SocketConfig.custom()
                        .setSoTimeout(Timeout.ofMilliseconds(readTimeoutMs))
                        .setTcpNoDelay(true)
                        .build())
                .setMaxTotal(MAX_CONNECTIONS)
                .setDefaultMaxPerRoute(MAX_CONNECTIONS_PER_ROUTE)
                .setTimeToLive(Timeout.ofSeconds(CONNECTION_TTL_SECONDS))
                .create();
    }

    /**
     * Sends a request and reads the whole response. A call that fails may still have taken effect.
     *
     * @param body body bytes, or null for none; sent as JSON
     * @throws IOException if no complete response was received
     */
    public HttpResult call(String method, URI uri, Map<String, String> headers, byte[] body) throws IOException {
        ClassicRequestBuilder builder = ClassicRequestBuilder.create(method).setUri(uri);
        headers.forEach(builder::setHeader);
        if (body != null) {
            builder.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
        }
        ClassicHttpRequest request = builder.build();
        HttpHost target = new HttpHost(uri.getScheme(), uri.getHost(), uri.getPort());
        try {
            return requester.execute(
                    target, request, connectTimeout, HttpCoreContext.create(), BlockingHttpClient::toResult);
        } catch (HttpException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Sends a request without a body and additional headers; see {@link #call}. */
    public HttpResult get(URI uri) throws IOException {
        return call("GET", uri, Map.of(), null);
    }

    private static HttpResult toResult(ClassicHttpResponse response) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (Header header : response.getHeaders()) {
            headers.put(header.getName().toLowerCase(Locale.ROOT), header.getValue());
        }
        byte[] body = response.getEntity() == null ? new byte[0] : EntityUtils.toByteArray(response.getEntity());
        return new HttpResult(response.getCode(), Map.copyOf(headers), body == null ? new byte[0] : body);
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
    }
}
