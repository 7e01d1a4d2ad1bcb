package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.http.HttpResult;

/**
 * Client of the operator API of one controller.
 *
 * @param address address of the API, {@code host:port}
 * @param token operator token
 */
public record OperatorClient(String address, String token) {
    /** Sends a request; {@code body} may be null. */
    public HttpResult call(String method, String path, Object body) throws IOException {
        Map<String, String> headers = Map.of("Authorization", "Bearer " + token);
        return HttpExchange.call(address, method, path, headers, body == null ? null : CanonicalJson.write(body));
    }

    /**
     * Reads a resource.
     *
     * @throws IOException if the status is not 2xx
     */
    public JsonNode read(String path) throws IOException {
        HttpResult result = call("GET", path, null);
        if (!result.isSuccess()) {
            throw new IOException("GET " + path + ": status " + result.status() + ": " + result.text());
        }
        return result.json();
    }

    /**
     * Returns the value of an entity of the current configuration.
     *
     * @throws IOException if there is no such entity or the configuration cannot be read
     */
    public JsonNode entity(String kind, String name) throws IOException {
        for (JsonNode each : read("/v1/configuration").path("entities")) {
            if (each.path("kind").asText().equals(kind)
                    && each.path("name").asText().equals(name)) {
                return each.path("value");
            }
        }
        throw new IOException("the configuration has no " + kind + " " + name);
    }

    /** Sets the value of one entity; the controller refuses it if {@code seenRevision} is not the current revision. */
    public HttpResult change(long seenRevision, String author, String kind, String name, JsonNode value)
            throws IOException {
        return call(
                "POST",
                "/v1/changes",
                Map.of(
                        "seen_revision",
                        seenRevision,
                        "author",
                        author,
                        "changes",
                        List.of(Map.of("kind", kind, "name", name, "value", value))));
    }

    /** Issues an API key and returns the response with {@code key_id} and {@code key}. */
    public JsonNode issueKey(String account) throws IOException {
        HttpResult result = call("POST", "/v1/accounts/" + account + "/keys", null);
        if (!result.isSuccess()) {
            throw new IOException("cannot issue a key: status " + result.status() + ": " + result.text());
        }
        return result.json();
    }

    /** Revokes an API key. */
    public HttpResult revokeKey(String account, String keyId) throws IOException {
        return call("DELETE", "/v1/accounts/" + account + "/keys/" + keyId, null);
    }
}
