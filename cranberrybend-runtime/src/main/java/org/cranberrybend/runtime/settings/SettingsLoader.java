package org.cranberrybend.runtime.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cranberrybend.core.configuration.CanonicalJson;

/**
 * Loads a JSON settings file, validates it against a JSON schema and parses it into a record.
 *
 * @param <S> settings record
 */
public final class SettingsLoader<S> {
    private final Class<S> settingsType;
    private final Schema schema;

    /**
     * Creates a loader for the settings record; its schema is the resource {@code schemaResource} in its package.
     *
     * @throws IllegalArgumentException if the schema resource is missing
     */
    public SettingsLoader(Class<S> settingsType, String schemaResource) {
        this.settingsType = settingsType;
        this.schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(readResource(settingsType, schemaResource), InputFormat.JSON);
    }

    private static String readResource(Class<?> type, String name) {
        try (InputStream in = type.getResourceAsStream(name)) {
            if (in == null) {
                throw new IllegalArgumentException("settings schema is missing: " + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalArgumentException("settings schema cannot be read: " + name, e);
        }
    }

    /**
     * Loads a settings file.
     *
     * @throws SettingsException if the file cannot be read, is not JSON, or is rejected by the schema or the record
     */
    public S load(Path file) throws SettingsException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(List.of(file + ": cannot be read: " + e.getMessage()));
        }
    }

    /** Parses settings from their JSON text; see {@link #load(Path)}. */
    public S parse(String json) throws SettingsException {
        try {
            JsonNode node = CanonicalJson.mapper().readTree(json);
            List<String> errors = schema.validate(json, InputFormat.JSON).stream()
                    .map(error -> error.getInstanceLocation() + ": " + error.getMessage())
                    .toList();
            if (!errors.isEmpty()) {
                throw new SettingsException(errors);
            }
            return CanonicalJson.mapper().treeToValue(node, settingsType);
        } catch (JsonProcessingException e) {
            throw new SettingsException(List.of("settings: " + e.getOriginalMessage()));
        }
    }
}
