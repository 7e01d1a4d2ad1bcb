package org.cranberrybend.core.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The whole configuration at one revision.
 *
 * @param revision number of change sets applied since the empty configuration
 * @param chainDigest digest of the whole history, see {@link ChangeSet#chainDigest()}
 * @param entities entities as JSON, by identifier
 */
public record ConfigurationState(long revision, String chainDigest, ImmutableSortedMap<EntityId, JsonNode> entities) {
    /** Configuration before the first change. */
    public static final ConfigurationState EMPTY = new ConfigurationState(0, "", ImmutableSortedMap.of());

    /**
     * Applies the next change set.
     *
     * @throws IllegalArgumentException if the change set does not follow this revision and its history
     */
    public ConfigurationState apply(ChangeSet changeSet) {
        if (changeSet.revision() != revision + 1 || !changeSet.previousDigest().equals(chainDigest)) {
            throw new IllegalArgumentException(
                    "change set " + changeSet.revision() + " does not follow revision " + revision);
        }
        Map<EntityId, JsonNode> next = new TreeMap<>(entities);
        for (EntityChange change : changeSet.changes()) {
            if (change.value() == null) {
                next.remove(change.id());
            } else {
                next.put(change.id(), change.value());
            }
        }
        return new ConfigurationState(changeSet.revision(), changeSet.chainDigest(), ImmutableSortedMap.copyOf(next));
    }
}
