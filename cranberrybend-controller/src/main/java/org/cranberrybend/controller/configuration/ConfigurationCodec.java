package org.cranberrybend.controller.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.EntityId;
import org.cranberrybend.core.configuration.EntityKind;

/** Encodes a configuration as one head and 64 content-addressed shards. Has no state. */
public final class ConfigurationCodec {
    /** Largest number of change sets kept in the head. */
    public static final int MAX_RECENT_CHANGES = 64;

    // A quarter of the store's limit of 1 MiB per value, which leaves room for the rest of the head.
    private static final int MAX_RECENT_CHANGES_BYTES = 256 << 10;

    private ConfigurationCodec() {}

    /**
     * Content of one shard.
     *
     * @param digest SHA-256 digest of the content in hexadecimal digits; empty for a shard without entities
     * @param content canonical JSON array of entities
     */
    public record Shard(String digest, byte[] content) {}

    private record StoredEntity(EntityKind kind, String name, JsonNode value) {}

    /** Returns the index of the shard that holds an entity. */
    public static int shardOf(EntityId id) {
        int hash = Hashing.sha256()
                .hashString(id.toString(), StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, ConfigurationHead.SHARDS);
    }

    /** Returns the key under which the content of a shard is stored. */
    public static String shardKey(int index, String digest) {
        return "config/shard/" + index + "/" + digest;
    }

    /** Encodes all shards of a configuration, ordered by index. */
    public static List<Shard> shards(ConfigurationState state) {
        List<List<StoredEntity>> content = new ArrayList<>();
        for (int i = 0; i < ConfigurationHead.SHARDS; i++) {
            content.add(new ArrayList<>());
        }
        state.entities().forEach((id, value) -> content.get(shardOf(id))
                .add(new StoredEntity(id.kind(), id.name(), normalize(value))));
        return content.stream().map(ConfigurationCodec::shard).toList();
    }

    private static Shard shard(List<StoredEntity> entities) {
        if (entities.isEmpty()) {
            return new Shard("", new byte[0]);
        }
        String text = CanonicalJson.write(entities);
        return new Shard(CanonicalJson.digestHex(text), text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the value as it is after one write and read, with sorted fields, so that digests are stable. */
    public static JsonNode normalize(JsonNode value) {
        try {
            return CanonicalJson.mapper().readTree(CanonicalJson.write(value));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be written as JSON", e);
        }
    }

    /**
     * Decodes a shard and adds its entities to the given map.
     *
     * @throws IllegalArgumentException if the content does not match its digest or cannot be parsed
     */
    static void readShard(String digest, byte[] content, Map<EntityId, JsonNode> entities) {
        String text = new String(content, StandardCharsets.UTF_8);
        if (!CanonicalJson.digestHex(text).equals(digest)) {
            throw new IllegalArgumentException("shard content does not match its digest " + digest);
        }
        try {
            for (StoredEntity each :
                    CanonicalJson.mapper().readValue(text, new TypeReference<List<StoredEntity>>() {})) {
                entities.put(new EntityId(each.kind(), each.name()), each.value());
            }
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("shard " + digest + " cannot be parsed", e);
        }
    }

    /**
     * Returns the head of a configuration.
     *
     * @param shards shards of the configuration, see {@link #shards}
     * @param recentChanges latest change sets, contiguous and ending at the revision of the configuration; the head
     *     omits the oldest ones if they exceed the size limits
     */
    public static ConfigurationHead head(
            ConfigurationState state, List<Shard> shards, List<ChangeSet> recentChanges, String author, long timeMs) {
        List<String> digests = shards.stream().map(Shard::digest).toList();
        ChangeSet last = recentChanges.isEmpty() ? null : recentChanges.get(recentChanges.size() - 1);
        return new ConfigurationHead(
                state.revision(),
                state.chainDigest(),
                last == null ? "" : last.previousDigest(),
                last == null ? author : last.author(),
                last == null ? timeMs : last.timeMs(),
                digests,
                truncate(recentChanges));
    }

    private static List<ChangeSet> truncate(List<ChangeSet> changes) {
        List<ChangeSet> kept = new ArrayList<>();
        int sizeBytes = 0;
        for (int i = changes.size() - 1; i >= 0 && kept.size() < MAX_RECENT_CHANGES; i--) {
            sizeBytes += CanonicalJson.write(changes.get(i)).length();
            if (sizeBytes > MAX_RECENT_CHANGES_BYTES) {
                break;
            }
            kept.add(changes.get(i));
        }
        Collections.reverse(kept);
        return kept;
    }

    /** Encodes a head. */
    public static byte[] write(ConfigurationHead head) {
        return CanonicalJson.write(head).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a head.
     *
     * @throws IllegalArgumentException if the value cannot be parsed
     */
    public static ConfigurationHead readHead(byte[] value) {
        try {
            return CanonicalJson.mapper().readValue(new String(value, StandardCharsets.UTF_8), ConfigurationHead.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("config/head cannot be parsed: " + e.getOriginalMessage(), e);
        }
    }

    /** Returns the configuration that consists of a head and the entities of its shards. */
    static ConfigurationState state(ConfigurationHead head, Map<EntityId, JsonNode> entities) {
        return new ConfigurationState(head.revision(), head.chainDigest(), ImmutableSortedMap.copyOf(entities));
    }
}
