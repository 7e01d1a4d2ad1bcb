package org.cranberrybend.runtime.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cranberrybend.runtime.http.BlockingHttpClient;
import org.cranberrybend.runtime.http.HttpResult;

/** HTTP client for the platform's key-value store. */
public final class KeyValueClient implements KeyValueStore, AutoCloseable {
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long READ_TIMEOUT_MS = 3_000;
    private static final long WATCH_MARGIN_MS = 5_000;
    private static final long WATCH_WAIT_MAX_MS = 30_000;

    private final URI base;
    private final BlockingHttpClient client = new BlockingHttpClient(CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS);
    private final BlockingHttpClient watchClient =
            new BlockingHttpClient(CONNECT_TIMEOUT_MS, WATCH_WAIT_MAX_MS + WATCH_MARGIN_MS);

    /** Creates a client for the platform at the given address. */
    public KeyValueClient(URI platformUri) {
        this.base = platformUri;
    }

    @Override
    public VersionedValue get(String key) throws PlatformException {
        HttpResult result = call(client, "GET", path(key), null);
        return toValue(key, result);
    }

    /** {@inheritDoc} The wait is limited to 30,000 ms. */
    @Override
    public Optional<VersionedValue> watch(String key, long afterRevision, long waitMs) throws PlatformException {
        long boundedWaitMs = Math.min(waitMs, WATCH_WAIT_MAX_MS);
        String target = path(key) + "?after=" + afterRevision + "&wait_ms=" + boundedWaitMs;
        HttpResult result = call(watchClient, "GET", target, null);
        return result.status() == 304 ? Optional.empty() : Optional.of(toValue(key, result));
    }

    @Override
    public OptionalLong compareAndSwap(String key, long expectedRevision, byte[] value) throws PlatformException {
        String target = path(key) + "?expected_revision=" + expectedRevision;
        HttpResult result = call(client, "PUT", target, value);
        if (result.status() == 412) {
            return OptionalLong.empty();
        }
        if (result.status() != 200) {
            throw new PlatformException("PUT " + key, result.status());
        }
        return OptionalLong.of(revision(result));
    }

    @Override
    public boolean compareAndDelete(String key, long expectedRevision) throws PlatformException {
        HttpResult result = call(client, "DELETE", path(key) + "?expected_revision=" + expectedRevision, null);
        if (result.status() != 200 && result.status() != 412 && result.status() != 404) {
            throw new PlatformException("DELETE " + key, result.status());
        }
        return result.status() == 200;
    }

    @Override
    public List<VersionedValue> list(String prefix) throws PlatformException {
        String target = "/v1/kv?prefix=" + URLEncoder.encode(prefix, StandardCharsets.UTF_8);
        HttpResult result = call(client, "GET", target, null);
        if (result.status() != 200) {
            throw new PlatformException("list " + prefix, result.status());
        }
        try {
            List<VersionedValue> values = new ArrayList<>();
            for (JsonNode each : result.json()) {
                byte[] value = Base64.getDecoder().decode(each.path("value").asText());
                values.add(new VersionedValue(
                        each.path("key").asText(), each.path("revision").asLong(), value));
            }
            return values;
        } catch (IOException e) {
            throw new PlatformException("list " + prefix + ": " + e.getMessage(), e);
        }
    }

    private static String path(String key) {
        return "/v1/kv/" + key;
    }

    private HttpResult call(BlockingHttpClient httpClient, String method, String target, byte[] body)
            throws PlatformException {
        try {
            return httpClient.call(method, base.resolve(target), Map.of(), body);
        } catch (IOException e) {
            throw new PlatformException(method + " " + target + ": " + e.getMessage(), e);
        }
    }

    private static VersionedValue toValue(String key, HttpResult result) throws PlatformException {
        if (result.status() == 404) {
            return new VersionedValue(key, 0, new byte[0]);
        }
        if (result.status() != 200) {
            throw new PlatformException("GET " + key, result.status());
        }
        return new VersionedValue(key, revision(result), result.body());
    }

    private static long revision(HttpResult result) throws PlatformException {
        try {
            return Long.parseLong(result.header("x-revision").orElse(""));
        } catch (NumberFormatException e) {
            throw new PlatformException("response has no valid X-Revision header", e);
        }
    }

    @Override
    public void close() {
        client.close();
        watchClient.close();
    }
}
