package org.cranberrybend.runtime.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;

/**
 * A response of a {@link JsonRouter}.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param headers additional headers
 * @param body body bytes, possibly empty
 */
public record JsonResponse(int status, String contentType, Map<String, String> headers, byte[] body) {
    /** Returns a response with a record, map, list or JSON node as JSON body. */
    public static JsonResponse json(int status, Object value) {
        return bytes(status, "application/json", CanonicalJson.write(value).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a response with a plain text body. */
    public static JsonResponse text(int status, String text) {
        return bytes(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a response with raw bytes. */
    public static JsonResponse bytes(int status, String contentType, byte[] body) {
        return new JsonResponse(status, contentType, Map.of(), body);
    }

    /** Returns a copy of this response with its additional headers replaced. */
    public JsonResponse withHeaders(Map<String, String> newHeaders) {
        return new JsonResponse(status, contentType, Map.copyOf(newHeaders), body);
    }
}
