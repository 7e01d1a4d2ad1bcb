package org.cranberrybend.core.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Canonical JSON, with sorted fields and without whitespace, so that equal values have equal bytes and digests in every
 * process.
 */
public final class CanonicalJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();

    private CanonicalJson() {}

    /** Returns the object mapper for JSON with snake_case names, which rejects unknown fields. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Returns the canonical JSON of a record, map, list or JSON node. */
    public static String write(Object value) {
        try {
            Object sortable = value instanceof JsonNode ? MAPPER.treeToValue((JsonNode) value, Object.class) : value;
            return MAPPER.writeValueAsString(sortable);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be written as JSON", e);
        }
    }

    /** Returns the SHA-256 digest of a text in hexadecimal. */
    public static String digestHex(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
