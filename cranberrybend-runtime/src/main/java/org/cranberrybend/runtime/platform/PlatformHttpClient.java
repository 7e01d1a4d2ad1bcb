package org.cranberrybend.runtime.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.http.BlockingHttpClient;
import org.cranberrybend.runtime.http.HttpResult;

/** HTTP calls of a platform client, with a connection pool of its own. I/O errors become {@link PlatformException}. */
final class PlatformHttpClient implements AutoCloseable {
    private static final long CONNECT_TIMEOUT_MS = 1_000;

    private final URI base;
    private final BlockingHttpClient client;

    PlatformHttpClient(URI platformUri, long readTimeoutMs) {
        this.base = platformUri;
        this.client = new BlockingHttpClient(CONNECT_TIMEOUT_MS, readTimeoutMs);
    }

    HttpResult call(String method, String target, byte[] body) throws PlatformException {
        try {
            return client.call(method, base.resolve(target), Map.of(), body);
        } catch (IOException e) {
            throw new PlatformException(method + " " + target + ": " + e.getMessage(), e);
        }
    }

    HttpResult callJson(String method, String target, Object body) throws PlatformException {
        return call(method, target, CanonicalJson.write(body).getBytes(StandardCharsets.UTF_8));
    }

    static JsonNode json(String call, HttpResult result) throws PlatformException {
        try {
            return result.json();
        } catch (IOException e) {
            throw new PlatformException(call + ": " + e.getMessage(), e);
        }
    }

    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        client.close();
    }
}
