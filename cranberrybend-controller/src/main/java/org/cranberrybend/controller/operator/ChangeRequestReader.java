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

/** Reads the body of {@code POST /v1/changes}; every fault of the form is reported with its path. */
final class ChangeRequestReader {
    private static final Set<String> FIELDS = Set.of("seen_revision", "author", "changes", "dry_run");
    private static final Set<String> CHANGE_FIELDS = Set.of("kind", "name", "value");

    private ChangeRequestReader() {}

    static ChangeRequest read(JsonNode body, String author) throws RequestFailedException {
        List<String> faults = new ArrayList<>();
        checkFields("", body, FIELDS, faults);
        if (!body.path("seen_revision").isIntegralNumber()) {
            faults.add("seen_revision: must be a whole number");
        }
        if (!body.path("changes").isArray()) {
            faults.add("changes: must be an array");
        }
        if (body.has("dry_run") && !body.path("dry_run").isBoolean()) {
            faults.add("dry_run: must be true or false");
        }
        List<EntityChange> changes = new ArrayList<>();
        int index = 0;
        for (JsonNode each : body.path("changes")) {
            readChange("changes/" + index++, each, changes, faults);
        }
        if (!faults.isEmpty()) {
            throw RequestFailedException.notRun(ErrorCode.CONFIGURATION_INVALID, String.join("; ", faults));
        }
        return new ChangeRequest(
                body.path("seen_revision").asLong(),
                author,
                changes,
                body.path("dry_run").asBoolean());
    }

    private static void readChange(String path, JsonNode node, List<EntityChange> changes, List<String> faults) {
        checkFields(path + "/", node, CHANGE_FIELDS, faults);
        if (!node.path("name").isTextual() || !node.path("kind").isTextual()) {
            faults.add(path + ": kind and name must be texts");
            return;
        }
        if (!node.has("value")) {
            faults.add(path + "/value: is missing; null removes the entity");
            return;
        }
        try {
            EntityKind kind = EntityKind.of(node.path("kind").asText());
            changes.add(new EntityChange(kind, node.path("name").asText(), node.path("value")));
        } catch (IllegalArgumentException e) {
            faults.add(path + "/kind: " + e.getMessage());
        }
    }

    private static void checkFields(String path, JsonNode node, Set<String> allowed, List<String> faults) {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!allowed.contains(name)) {
                faults.add(path + name + ": unknown field");
            }
        }
    }
}
