package org.cranberrybend.core.configuration;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Sets or removes one entity.
 *
 * @param kind kind of the entity
 * @param name name of the entity
 * @param value new value, or null to remove the entity
 */
public record EntityChange(EntityKind kind, String name, JsonNode value) {
    public EntityChange {
        value = value == null || value.isNull() ? null : value;
    }

    /** Returns the identifier of the changed entity. */
    public EntityId id() {
        return new EntityId(kind, name);
    }
}
