package org.cranberrybend.standins.platform;

import com.codahale.metrics.MetricRegistry;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.http.HttpStatusException;
import org.cranberrybend.runtime.http.JsonRequest;
import org.cranberrybend.runtime.http.JsonResponse;
import org.cranberrybend.runtime.http.JsonRouter;
import org.cranberrybend.runtime.platform.VersionedValue;

/** HTTP endpoints of the key-value store, with its rate and size limits. */
final class KeyValueEndpoints {
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final long MAX_WAIT_MS = 60_000;
    private static final String BINARY_CONTENT_TYPE = "application/octet-stream";

    private final KeyValueStore store = new KeyValueStore();
    private final MetricRegistry counters;
    private final RateLimiter reads;
    private final RateLimiter writes;

    KeyValueEndpoints(PlatformSettings settings, TimeSource time, MetricRegistry counters) {
        this.counters = counters;
        this.reads = new RateLimiter(settings.kvReadsPerSecond(), time);
        this.writes = new RateLimiter(settings.kvWritesPerSecond(), time);
    }

    KeyValueStore store() {
        return store;
    }

    void addTo(JsonRouter router) {
        router.on("GET", "/v1/kv", this::list)
                .on("GET", "/v1/kv/{key*}", this::get)
                .on("PUT", "/v1/kv/{key*}", this::put)
                .on("DELETE", "/v1/kv/{key*}", this::delete);
    }

    /** Counts a read and applies the rate limit. */
    private void admitRead(String kind) throws HttpStatusException {
        admit(kind, reads);
    }

    /** Counts a write or a lease call and applies the rate limit. */
    void admitWrite(String kind) throws HttpStatusException {
        admit(kind, writes);
    }

    private void admit(String kind, RateLimiter limiter) throws HttpStatusException {
        counters.counter(kind).inc();
        if (!limiter.tryAcquire()) {
            counters.counter("rate_limited").inc();
            throw new HttpStatusException(429, "rate limit exceeded");
        }
    }

    private JsonResponse list(JsonRequest request) throws HttpStatusException {
        admitRead("kv_list");
        List<Map<String, Object>> entries = store
                .list(request.queryParameter("prefix").orElse(""))
                .stream()
                .map(each -> Map.<String, Object>of(
                        "key",
                        each.key(),
                        "revision",
                        each.revision(),
                        "value",
                        Base64.getEncoder().encodeToString(each.value())))
                .toList();
        return JsonResponse.json(200, entries);
    }

    private JsonResponse get(JsonRequest request) throws HttpStatusException {
        String key = request.pathParameter("key");
        if (request.queryParameter("after").isPresent()) {
            return watch(request, key);
        }
        admitRead("kv_get");
        return valueResponse(store.get(key));
    }

    private JsonResponse watch(JsonRequest request, String key) throws HttpStatusException {
        admitRead("kv_watch");
        long waitMs = Math.min(MAX_WAIT_MS, request.queryNumber("wait_ms", 0));
        try {
            Optional<VersionedValue> newer = store.awaitNewer(key, request.queryNumber("after", 0), waitMs);
            return newer.isPresent()
                    ? valueResponse(newer.get())
                    : withRevision(JsonResponse.text(304, ""), store.get(key).revision());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HttpStatusException(503, "the key-value store is shutting down");
        }
    }

    private static JsonResponse valueResponse(VersionedValue value) throws HttpStatusException {
        if (!value.exists()) {
            throw new HttpStatusException(404, "no such key: " + value.key());
        }
        return withRevision(JsonResponse.bytes(200, BINARY_CONTENT_TYPE, value.value()), value.revision());
    }

    private JsonResponse put(JsonRequest request) throws HttpStatusException {
        admitWrite("kv_put");
        if (request.body().length > MAX_VALUE_BYTES) {
            throw new HttpStatusException(413, "value exceeds " + MAX_VALUE_BYTES + " bytes");
        }
        String key = request.pathParameter("key");
        KeyValueStore.WriteOutcome outcome =
                store.put(key, request.queryNumber("expected_revision", -1), request.body());
        return withRevision(JsonResponse.json(outcome.applied() ? 200 : 412, Map.of()), outcome.revision());
    }

    private JsonResponse delete(JsonRequest request) throws HttpStatusException {
        admitWrite("kv_delete");
        String key = request.pathParameter("key");
        KeyValueStore.WriteOutcome outcome = store.delete(key, request.queryNumber("expected_revision", -1));
        int failureStatus = outcome.revision() == 0 ? 404 : 412;
        return withRevision(JsonResponse.json(outcome.applied() ? 200 : failureStatus, Map.of()), outcome.revision());
    }

    private static JsonResponse withRevision(JsonResponse response, long revision) {
        return response.withHeaders(Map.of("X-Revision", Long.toString(revision)));
    }
}
