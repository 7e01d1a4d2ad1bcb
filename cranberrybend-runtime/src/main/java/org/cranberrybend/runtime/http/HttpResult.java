package org.cranberrybend.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.core.configuration.CanonicalJson;

/**
 * Response received by an {@link BlockingHttpClient}.
 *
 * @param status HTTP status
 * @param headers header values by lower-case name; of repeated headers the last value
 * @param body body bytes
 */
public record HttpResult(int status, Map<String, String> headers, byte[] body) {
    /** Returns a header value by its lower-case name. */
    public Optional<String> header(String lowerCaseName) {
        return Optional.ofNullable(headers.get(lowerCaseName));
    }

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }

    /** Returns the body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Returns the body as JSON.
     *
     * @throws IOException if the body is not JSON
     */
    public JsonNode json() throws IOException {
        try {
            return CanonicalJson.mapper().readTree(text());
        } catch (JsonProcessingException e) {
            throw new IOException("response is not valid JSON: " + e.getOriginalMessage(), e);
        }
    }
}
