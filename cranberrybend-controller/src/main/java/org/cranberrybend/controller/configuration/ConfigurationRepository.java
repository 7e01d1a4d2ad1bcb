package org.cranberrybend.controller.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cranberrybend.controller.configuration.ConfigurationCodec.Shard;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.EntityId;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/** Reads and writes the head and the shards in the key-value store. Stateless and thread-safe. */
public final class ConfigurationRepository {
    /** Key of the head. */
    public static final String HEAD_KEY = "config/head";

    /** Prefix of the keys of all shards. */
    public static final String SHARD_PREFIX = "config/shard/";

    /**
     * Longest time between writing the first shard and writing the head, in milliseconds. It is much shorter than
     * {@link ShardCleaner#DELETION_DELAY_MS}, for which an unreferenced shard is kept, so a head never refers to a
     * deleted shard.
     */
    static final long MAX_SHARDS_TO_HEAD_MS = 60_000;

    private static final int MAX_COMMIT_ATTEMPTS = 3;

    // A lost response costs two attempts: the store rejects the repeated write, and the next one uses the new revision.
    private static final int MAX_SHARD_ATTEMPTS = 6;
    private static final int MAX_LOAD_ATTEMPTS = 3;

    private final KeyValueStore store;
    private final TimeSource time;

    /** Creates a repository on the given store. */
    public ConfigurationRepository(KeyValueStore store, TimeSource time) {
        this.store = store;
        this.time = time;
    }

    /** Reads the encoded head. */
    VersionedValue readHeadValue() throws PlatformException {
        return store.get(HEAD_KEY);
    }

    /** Decodes a stored head. Returns {@link ConfigurationHead#EMPTY} if it does not exist. */
    static ConfigurationHead decode(VersionedValue value) throws PlatformException {
        if (!value.exists()) {
            return ConfigurationHead.EMPTY;
        }
        try {
            return ConfigurationCodec.readHead(value.value());
        } catch (IllegalArgumentException e) {
            throw new PlatformException(e.getMessage(), e);
        }
    }

    /**
     * Loads the complete configuration of a head, or of a later head if shards were deleted while they were read.
     *
     * @param known configuration whose shards are reused where their digests match
     */
    StoredHead load(VersionedValue headValue, ConfigurationState known) throws PlatformException {
        Map<String, Map<EntityId, JsonNode>> knownShards = entitiesByShardDigest(known);
        VersionedValue value = headValue;
        for (int attempt = 0; attempt < MAX_LOAD_ATTEMPTS; attempt++) {
            ConfigurationHead head = decode(value);
            Map<EntityId, JsonNode> entities = new HashMap<>();
            if (readShards(head, knownShards, entities)) {
                return new StoredHead(value.revision(), head, ConfigurationCodec.state(head, entities));
            }
            value = store.get(HEAD_KEY);
        }
        throw new PlatformException("config/head refers to a shard that does not exist", CallOutcome.NOT_ACCEPTED);
    }

    private static Map<String, Map<EntityId, JsonNode>> entitiesByShardDigest(ConfigurationState known) {
        Map<String, Map<EntityId, JsonNode>> entities = new HashMap<>();
        List<Shard> shards = ConfigurationCodec.shards(known);
        known.entities().forEach((id, value) -> entities.computeIfAbsent(
                        shards.get(ConfigurationCodec.shardOf(id)).digest(), digest -> new HashMap<>())
                .put(id, value));
        return entities;
    }

    private boolean readShards(
            ConfigurationHead head, Map<String, Map<EntityId, JsonNode>> knownShards, Map<EntityId, JsonNode> entities)
            throws PlatformException {
        for (int i = 0; i < ConfigurationHead.SHARDS; i++) {
            String digest = head.shardDigests().get(i);
            if (digest.isEmpty()) {
                continue;
            }
            if (knownShards.containsKey(digest)) {
                entities.putAll(knownShards.get(digest));
                continue;
            }
            VersionedValue shard = store.get(ConfigurationCodec.shardKey(i, digest));
            if (!shard.exists()) {
                return false;
            }
            try {
                ConfigurationCodec.readShard(digest, shard.value(), entities);
            } catch (IllegalArgumentException e) {
                throw new PlatformException(e.getMessage(), e);
            }
        }
        return true;
    }

    /**
     * Writes a configuration: first the shards to which the stored head does not refer, then the head by
     * compare-and-swap.
     *
     * @return whether the configuration was stored; false if the head was modified concurrently
     * @throws PlatformException if the configuration was not stored, or if the outcome is unknown even after reading
     *     the head
     */
    boolean store(StoredHead base, ConfigurationState next, List<ChangeSet> recentChanges, String author)
            throws PlatformException {
        List<Shard> shards = ConfigurationCodec.shards(next);
        ConfigurationHead head = ConfigurationCodec.head(next, shards, recentChanges, author, time.wallMs());
        long startedMs = time.monotonicMs();
        try {
            for (int i = 0; i < shards.size(); i++) {
                Shard shard = shards.get(i);
                if (!shard.digest().isEmpty()
                        && !shard.digest().equals(base.head().shardDigests().get(i))) {
                    writeShard(ConfigurationCodec.shardKey(i, shard.digest()), shard.content());
                }
            }
        } catch (PlatformException e) {
            // Shards have no effect until a head refers to them.
            throw new PlatformException(e.getMessage(), CallOutcome.NOT_ACCEPTED);
        }
        return commit(head, base.storeRevision(), startedMs);
    }

    /**
     * Writes a shard, even if it exists. The new revision prevents the cleaner from deleting a superseded shard that
     * becomes current again.
     */
    private void writeShard(String key, byte[] content) throws PlatformException {
        PlatformException failure = null;
        long expectedRevision = 0;
        for (int attempt = 0; attempt < MAX_SHARD_ATTEMPTS; attempt++) {
            try {
                if (store.compareAndSwap(key, expectedRevision, content).isPresent()) {
                    return;
                }
                expectedRevision = store.get(key).revision();
            } catch (PlatformException e) {
                failure = e;
            }
        }
        throw failure != null
                ? failure
                : new PlatformException(key + " was modified concurrently in all attempts", CallOutcome.NOT_ACCEPTED);
    }

    private boolean commit(ConfigurationHead head, long expectedRevision, long startedMs) throws PlatformException {
        byte[] value = ConfigurationCodec.write(head);
        PlatformException failure = null;
        boolean unknown = false;
        for (int attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt++) {
            if (time.monotonicMs() - startedMs > MAX_SHARDS_TO_HEAD_MS) {
                break;
            }
            try {
                OptionalLong written = store.compareAndSwap(HEAD_KEY, expectedRevision, value);
                if (written.isPresent()) {
                    return true;
                }
                // After a lost response, the revision may have changed because of this write itself.
                return unknown && isStored(head, store.get(HEAD_KEY));
            } catch (PlatformException e) {
                failure = e;
                unknown |= e.outcome() == CallOutcome.UNKNOWN;
            }
            if (!unknown) {
                continue;
            }
            try {
                VersionedValue current = store.get(HEAD_KEY);
                if (current.revision() != expectedRevision) {
                    return isStored(head, current);
                }
            } catch (PlatformException e) {
                failure = e;
            }
        }
        String reason = failure == null ? "writing the shards took too long" : failure.getMessage();
        throw new PlatformException(reason, unknown ? CallOutcome.UNKNOWN : CallOutcome.NOT_ACCEPTED);
    }

    /** Returns whether the stored head equals the given one or has it in its history. */
    private static boolean isStored(ConfigurationHead head, VersionedValue value) throws PlatformException {
        ConfigurationHead current = decode(value);
        if (current.revision() == head.revision()) {
            return current.isSameConfiguration(head);
        }
        if (current.revision() < head.revision()) {
            return false;
        }
        for (ChangeSet change : current.recentChanges()) {
            if (change.revision() == head.revision()) {
                return change.chainDigest().equals(head.chainDigest());
            }
        }
        throw new PlatformException(
                "revision " + head.revision() + " is no longer in the recent changes of config/head",
                CallOutcome.UNKNOWN);
    }
}
