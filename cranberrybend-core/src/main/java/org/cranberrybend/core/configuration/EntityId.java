package org.cranberrybend.core.configuration;

import java.util.Comparator;

/**
 * Identifies a configuration entity.
 *
 * @param kind kind of the entity
 * @param name name, unique within the kind
 */
public record EntityId(EntityKind kind, String name) implements Comparable<EntityId> {
    private static final Comparator<EntityId> ORDER =
            Comparator.comparing(EntityId::kind).thenComparing(EntityId::name);

    public EntityId {
        if (kind == null || name == null || !name.matches("[a-z0-9][a-z0-9._-]{0,62}")) {
            throw new IllegalArgumentException(
                    "entity name must be 1 to 63 characters of a-z, 0-9, '.', '_' and '-': " + name);
        }
    }

    @Override
    public int compareTo(EntityId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.wireName() + "/" + name;
    }
}
