package org.cranberrybend.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.core.configuration.CanonicalJson;

/**
 * A request received by a {@link JsonRouter}.
 *
 * @param method HTTP method
 * @param path decoded path without query
 * @param pathParameters values matched by the placeholders of the path pattern, by name
 * @param query decoded query parameters; of repeated parameters the last value
 * @param headers header values by lower-case name; of repeated headers the last value
 * @param body body bytes
 */
public record JsonRequest(
        String method,
        String path,
        Map<String, String> pathParameters,
        Map<String, String> query,
        Map<String, String> headers,
        byte[] body) {
    /** Returns the value of a placeholder in the path pattern. */
    public String pathParameter(String name) {
        return pathParameters.get(name);
    }

    /** Returns a query parameter. */
    public Optional<String> queryParameter(String name) {
        return Optional.ofNullable(query.get(name));
    }

    /**
     * Returns a query parameter as an integer, or the default value if it is absent.
     *
     * @throws HttpStatusException with status 400 if it is not an integer
     */
    public long queryNumber(String name, long defaultValue) throws HttpStatusException {
        String text = query.get(name);
        try {
            return text == null ? defaultValue : Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new HttpStatusException(400, "query parameter " + name + " must be a whole number");
        }
    }

    /** Returns a header value; the name is case-insensitive. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }

    /**
     * Returns the body parsed as JSON.
     *
     * @throws HttpStatusException with status 400 if the body is not JSON
     */
    public JsonNode json() throws HttpStatusException {
        try {
            return CanonicalJson.mapper().readTree(new String(body, StandardCharsets.UTF_8));
        } catch (JsonProcessingException e) {
            throw new HttpStatusException(400, "body is not valid JSON: " + e.getOriginalMessage());
        }
    }
}
