package org.cranberrybend.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.EntityId;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/**
 * A complete configuration, read from the fleet or from an operator's file.
 *
 * @param revision revision of the fleet when it was read; 0 for a file
 * @param entities values by identifier
 */
public record FleetConfiguration(long revision, Map<EntityId, JsonNode> entities) {
    public FleetConfiguration {
        entities = Collections.unmodifiableMap(new TreeMap<>(entities));
    }

    /** Reads the configuration of the fleet. */
    public static FleetConfiguration fetch(ControllerClient client) throws CommandException {
        JsonNode json = client.get("/v1/configuration");
        return new FleetConfiguration(json.path("revision").asLong(), readEntities(json.path("entities")));
    }

    /** Reads a file with {@code {"entities":[{"kind","name","value"}]}}, or "changes" instead of "entities". */
    public static FleetConfiguration readFile(Path file) throws CommandException {
        try {
            JsonNode json = CanonicalJson.mapper().readTree(Files.readString(file));
            JsonNode list = json.has("entities") ? json.path("entities") : json.path("changes");
            if (!list.isArray()) {
                throw new CommandException(ExitCode.INVALID, file + ": field \"entities\" must be a list");
            }
            return new FleetConfiguration(0, readEntities(list));
        } catch (IOException e) {
            throw new CommandException(ExitCode.INVALID, file + ": " + e.getMessage());
        }
    }

    private static Map<EntityId, JsonNode> readEntities(JsonNode list) throws CommandException {
        Map<EntityId, JsonNode> entities = new TreeMap<>();
        try {
            for (JsonNode each : list) {
                EntityKind kind = EntityKind.of(each.path("kind").asText());
                EntityId id = new EntityId(kind, each.path("name").asText());
                if (entities.put(id, each.path("value")) != null) {
                    throw new CommandException(ExitCode.INVALID, id + " appears more than once");
                }
            }
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.INVALID, e.getMessage());
        }
        return entities;
    }

    /**
     * Returns the changes that turn this configuration into the desired one.
     *
     * @param prune whether entities that are not in the desired configuration are removed
     */
    public List<JsonNode> changesTo(FleetConfiguration desired, boolean prune) {
        List<JsonNode> changes = new ArrayList<>();
        desired.entities.forEach((id, value) -> {
            JsonNode current = entities.get(id);
            if (current == null || !CanonicalJson.write(current).equals(CanonicalJson.write(value))) {
                changes.add(change(id, value));
            }
        });
        if (prune) {
            entities.keySet().stream()
                    .filter(id -> !desired.entities.containsKey(id))
                    .forEach(id -> changes.add(change(id, null)));
        }
        return changes;
    }

    /** Returns a change of one entity; a null value removes it. */
    public static JsonNode change(EntityId id, JsonNode value) {
        ObjectNode change = CanonicalJson.mapper().createObjectNode();
        change.put("kind", id.kind().wireName());
        change.put("name", id.name());
        change.set("value", value);
        return change;
    }
}
