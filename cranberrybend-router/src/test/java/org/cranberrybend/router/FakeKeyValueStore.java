package org.cranberrybend.router;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrybend.runtime.http.HttpService;
import org.cranberrybend.runtime.http.JsonRequest;
import org.cranberrybend.runtime.http.JsonResponse;
import org.cranberrybend.runtime.http.JsonRouter;

/** In-memory key-value store with the platform's API for reads and compare-and-swap writes. */
public final class FakeKeyValueStore implements AutoCloseable {
    /** Applies writes but responds with an error. */
    public volatile boolean losingWrites;

    private final Map<String, byte[]> values = new ConcurrentHashMap<>();
    private final Map<String, Long> revisions = new ConcurrentHashMap<>();
    private final HttpService http;

    public FakeKeyValueStore() throws Exception {
        http = new HttpService(
                "127.0.0.1",
                0,
                new JsonRouter()
                        .on("GET", "/v1/kv/{key*}", this::get)
                        .on("PUT", "/v1/kv/{key*}", this::put)
                        .on("DELETE", "/v1/kv/{key*}", this::delete));
        http.start();
    }

    public String uri() {
        return "http://127.0.0.1:" + http.port();
    }

    private JsonResponse get(JsonRequest request) {
        String key = request.pathParameter("key");
        long revision = revisions.getOrDefault(key, 0L);
        return revision == 0 ? JsonResponse.text(404, "") : response(200, values.get(key), revision);
    }

    private synchronized JsonResponse put(JsonRequest request) {
        String key = request.pathParameter("key");
        long revision = revisions.getOrDefault(key, 0L);
        if (!request.query().get("expected_revision").equals(String.valueOf(revision))) {
            return response(412, new byte[0], revision);
        }
        values.put(key, request.body());
        revisions.put(key, revision + 1);
        return response(losingWrites ? 500 : 200, new byte[0], revision + 1);
    }

    private synchronized JsonResponse delete(JsonRequest request) {
        revisions.remove(request.pathParameter("key"));
        return JsonResponse.text(200, "");
    }

    private static JsonResponse response(int status, byte[] body, long revision) {
        return JsonResponse.bytes(status, "application/octet-stream", body)
                .withHeaders(Map.of("X-Revision", String.valueOf(revision)));
    }

    @Override
    public void close() {
        http.stop();
    }
}
