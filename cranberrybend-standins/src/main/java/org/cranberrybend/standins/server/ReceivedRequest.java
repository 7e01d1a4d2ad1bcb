package org.cranberrybend.standins.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.cranberrybend.core.configuration.CanonicalJson;

/**
 * A complete request as a stand-in received it.
 *
 * @param method HTTP method
 * @param target request target, including the query
 * @param headers header fields in order of arrival, including repeated ones
 * @param trailers trailer fields in order of arrival
 * @param body body bytes
 */
public record ReceivedRequest(String method, String target, List<Field> headers, List<Field> trailers, byte[] body) {
    /**
     * A header or trailer field.
     *
     * @param name name as received
     * @param value value as received
     */
    public record Field(String name, String value) {}

    /** Reads the body and the trailers of a request. */
    public static ReceivedRequest read(ClassicHttpRequest request) throws IOException {
        byte[] body = new byte[0];
        List<Field> trailers = List.of();
        HttpEntity entity = request.getEntity();
        if (entity != null) {
            InputStream content = entity.getContent();
            body = content.readAllBytes();
            trailers = readTrailers(content);
        }
        return new ReceivedRequest(
                request.getMethod(), request.getRequestUri(), fields(List.of(request.getHeaders())), trailers, body);
    }

    /**
     * Reads the trailers from the stream that decodes the chunks; the entity of a received request does not have them.
     */
    private static List<Field> readTrailers(InputStream content) {
        return content instanceof ChunkedInputStream
                ? fields(List.of(((ChunkedInputStream) content).getFooters()))
                : List.of();
    }

    private static List<Field> fields(List<? extends Header> headers) {
        List<Field> fields = new ArrayList<>();
        headers.forEach(each -> fields.add(new Field(each.getName(), each.getValue())));
        return List.copyOf(fields);
    }

    /** Returns the path of the target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the first value of a header; names are case-insensitive. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(each -> each.name().equalsIgnoreCase(name))
                .map(Field::value)
                .findFirst();
    }

    /** Returns the body decoded as UTF-8. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns the SHA-256 digest of the body in hexadecimal. */
    public String bodyDigestHex() {
        return Hashing.sha256().hashBytes(body).toString();
    }

    /** Returns the body as a JSON object, or empty if it is not one. */
    public Optional<JsonNode> bodyObject() {
        try {
            JsonNode node = CanonicalJson.mapper().readTree(bodyText());
            return node.isObject() ? Optional.of(node) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
