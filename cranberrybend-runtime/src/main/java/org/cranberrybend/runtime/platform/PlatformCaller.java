package org.cranberrybend.runtime.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.http.HttpCaller;
import org.cranberrybend.runtime.http.HttpResult;

/** Calls shared by the platform clients: one connection pool, and failures as {@link PlatformException}. */
final class PlatformCaller implements AutoCloseable {
    private static final long CONNECT_TIMEOUT_MS = 1_000;

    private final URI base;
    private final HttpCaller caller;

    PlatformCaller(URI platformUri, long readTimeoutMs) {
        this.base = platformUri;
        this.caller = new HttpCaller(CONNECT_TIMEOUT_MS, readTimeoutMs);
    }

    HttpResult call(String method, String target, byte[] body) throws PlatformException {
        try {
            return caller.call(method, base.resolve(target), Map.of(), body);
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
        caller.close();
    }
}
