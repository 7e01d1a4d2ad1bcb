package org.cranberrybend.entry.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes JSON with Jackson's streaming API only. Data binding would load several hundred classes, and each
 * class that is loaded adds to the cost of a process restart.
 */
public final class Json {
    /** Deeper documents could overflow the stack of the event loop; the deepest one in use has 6 levels. */
    private static final int MAX_NESTING_DEPTH = 32;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .build())
            .build();

    private Json() {}

    /** Parses a document that consists of one JSON object. */
    public static JsonObject readObject(byte[] document) throws JsonFormatException {
        try (JsonParser parser = FACTORY.createParser(document)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new JsonFormatException("the document is not a JSON object");
            }
            Map<String, Object> fields = readFields(parser);
            if (parser.nextToken() != null) {
                throw new JsonFormatException("content after the end of the JSON object");
            }
            return new JsonObject("", fields);
        } catch (IOException e) {
            throw new JsonFormatException(
                    "the document is not valid JSON: " + e.getClass().getSimpleName(), e);
        }
    }

    private static Map<String, Object> readFields(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, readValue(parser));
        }
        return fields;
    }

    private static Object readValue(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                return readFields(parser);
            case START_ARRAY:
                List<Object> elements = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    elements.add(readValue(parser));
                }
                return elements;
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                return parser.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            default:
                return null;
        }
    }

    /**
     * Writes a map, iterable, number, boolean or null as the JSON value of that type, and any other value as a string.
     */
    public static byte[] write(Object value) {
        ByteArrayOutputStream document = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(document)) {
            writeValue(generator, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return document.toByteArray();
    }

    private static void writeValue(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> field : ((Map<?, ?>) value).entrySet()) {
                generator.writeFieldName(String.valueOf(field.getKey()));
                writeValue(generator, field.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof Iterable) {
            generator.writeStartArray();
            for (Object element : (Iterable<?>) value) {
                writeValue(generator, element);
            }
            generator.writeEndArray();
        } else if (value instanceof Long || value instanceof Integer) {
            generator.writeNumber(((Number) value).longValue());
        } else if (value instanceof Double) {
            generator.writeNumber((Double) value);
        } else if (value instanceof Boolean) {
            generator.writeBoolean((Boolean) value);
        } else if (value == null) {
            generator.writeNull();
        } else {
            generator.writeString(value.toString());
        }
    }
}
