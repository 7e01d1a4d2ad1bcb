package org.cranberrybend.controller.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.cranberrybend.controller.configuration.ChangeRequest;
import org.cranberrybend.core.configuration.EntityChange;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;

/** Parses the body of {@code POST /v1/changes} and reports every validation error with its path. */
final class ChangeRequestParser {
    private static final Set<String> REQUEST_FIELDS = Set.of("seen_revision", "author", "changes", "dry_run");
    private static final Set<String> CHANGE_FIELDS = Set.of("kind", "name", "value");

    private ChangeRequestParser() {}

    static ChangeRequest parse(JsonNode body, String author) throws RequestFailedException {
        List<String> errors = new ArrayList<>();
        checkFields("", body, REQUEST_FIELDS, errors);
        if (!body.path("seen_revision").isIntegralNumber()) {
            errors.add("seen_revision: must be a whole number");
        }
        if (!body.path("changes").isArray()) {
            errors.add("changes: must be an array");
        }
        if (body.has("dry_run") && !body.path("dry_run").isBoolean()) {
            errors.add("dry_run: must be true or false");
        }
        List<EntityChange> changes = new ArrayList<>();
        int index = 0;
        for (JsonNode each : body.path("changes")) {
            parseChange("changes/" + index++, each, changes, errors);
        }
        if (!errors.isEmpty()) {
            throw RequestFailedException.notRun(ErrorCode.CONFIGURATION_INVALID, String.join("; ", errors));
        }
        return new ChangeRequest(
                body.path("seen_revision").asLong(),
                author,
                changes,
                body.path("dry_run").asBoolean());
    }

    private static void parseChange(String path, JsonNode node, List<EntityChange> changes, List<String> errors) {
        checkFields(path + "/", node, CHANGE_FIELDS, errors);
        if (!node.path("name").isTextual() || !node.path("kind").isTextual()) {
            errors.add(path + ": kind and name must be strings");
            return;
        }
        if (!node.has("value")) {
            errors.add(path + "/value: is missing; null removes the entity");
            return;
        }
        try {
            EntityKind kind = EntityKind.of(node.path("kind").asText());
            changes.add(new EntityChange(kind, node.path("name").asText(), node.path("value")));
        } catch (IllegalArgumentException e) {
            errors.add(path + "/kind: " + e.getMessage());
        }
    }

    private static void checkFields(String path, JsonNode node, Set<String> allowed, List<String> errors) {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!allowed.contains(name)) {
                errors.add(path + name + ": unknown field");
            }
        }
    }
}
