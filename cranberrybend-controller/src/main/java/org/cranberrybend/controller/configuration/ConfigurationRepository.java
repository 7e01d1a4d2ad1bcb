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

/** Reads and writes of the head and the shards in the key-value service. Stateless and thread-safe. */
public final class ConfigurationRepository {
    /** Key of the head. */
    public static final String HEAD_KEY = "config/head";

    /** Prefix of the keys of all shards. */
    public static final String SHARD_PREFIX = "config/shard/";

    /**
     * Longest time between writing the first shard and the head, in milliseconds. A shard that is not referenced is
     * kept for {@link ShardCleaner#DELETION_DELAY_MS}, which is far longer, so a head never refers to a deleted shard.
     */
    static final long SHARDS_TO_HEAD_MAX_MS = 60_000;

    private static final int COMMIT_ATTEMPTS = 3;

    // A lost response costs two attempts: the repeated write is refused, and the next one uses the revision read.
    private static final int SHARD_ATTEMPTS = 6;
    private static final int LOAD_ATTEMPTS = 3;

    private final KeyValueStore store;
    private final TimeSource time;

    /** Creates a repository in the given service. */
    public ConfigurationRepository(KeyValueStore store, TimeSource time) {
        this.store = store;
        this.time = time;
    }

    /** Reads the head as stored. */
    VersionedValue readHeadValue() throws PlatformException {
        return store.get(HEAD_KEY);
    }

    /** Decodes a stored head; a missing one is {@link ConfigurationHead#EMPTY}. */
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
     * Loads the whole configuration of a head, or of a later one if shards were superseded while they were read.
     *
     * @param known configuration whose equal shards are not read again
     */
    StoredHead load(VersionedValue headValue, ConfigurationState known) throws PlatformException {
        Map<String, Map<EntityId, JsonNode>> held = heldShards(known);
        VersionedValue value = headValue;
        for (int attempt = 0; attempt < LOAD_ATTEMPTS; attempt++) {
            ConfigurationHead head = decode(value);
            Map<EntityId, JsonNode> entities = new HashMap<>();
            if (readShards(head, held, entities)) {
                return new StoredHead(value.revision(), head, ConfigurationCodec.state(head, entities));
            }
            value = store.get(HEAD_KEY);
        }
        throw new PlatformException("config/head refers to a shard that does not exist", CallOutcome.NOT_ACCEPTED);
    }

    private static Map<String, Map<EntityId, JsonNode>> heldShards(ConfigurationState known) {
        Map<String, Map<EntityId, JsonNode>> held = new HashMap<>();
        List<Shard> shards = ConfigurationCodec.shards(known);
        known.entities().forEach((id, value) -> held.computeIfAbsent(
                        shards.get(ConfigurationCodec.shardOf(id)).digest(), digest -> new HashMap<>())
                .put(id, value));
        return held;
    }

    private boolean readShards(
            ConfigurationHead head, Map<String, Map<EntityId, JsonNode>> held, Map<EntityId, JsonNode> entities)
            throws PlatformException {
        for (int i = 0; i < ConfigurationHead.SHARDS; i++) {
            String digest = head.shardDigests().get(i);
            if (digest.isEmpty()) {
                continue;
            }
            if (held.containsKey(digest)) {
                entities.putAll(held.get(digest));
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
     * Writes a configuration: first the shards that the stored head does not refer to, then the head by
     * compare-and-swap.
     *
     * @return whether the configuration was stored; false if another write came first
     * @throws PlatformException if it was not stored, or if its outcome is unknown even after reading the head
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
            // A shard without a head that refers to it has no effect.
            throw new PlatformException(e.getMessage(), CallOutcome.NOT_ACCEPTED);
        }
        return commit(head, base.storeRevision(), startedMs);
    }

    /**
     * Writes a shard even if it exists: the new revision keeps the cleaner from deleting a superseded shard that
     * becomes current again.
     */
    private void writeShard(String key, byte[] content) throws PlatformException {
        PlatformException failure = null;
        long expectedRevision = 0;
        for (int attempt = 0; attempt < SHARD_ATTEMPTS; attempt++) {
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
                : new PlatformException(key + " is being written by others", CallOutcome.NOT_ACCEPTED);
    }

    private boolean commit(ConfigurationHead head, long expectedRevision, long startedMs) throws PlatformException {
        byte[] value = ConfigurationCodec.write(head);
        PlatformException failure = null;
        boolean unknown = false;
        for (int attempt = 0; attempt < COMMIT_ATTEMPTS; attempt++) {
            if (time.monotonicMs() - startedMs > SHARDS_TO_HEAD_MAX_MS) {
                break;
            }
            try {
                OptionalLong written = store.compareAndSwap(HEAD_KEY, expectedRevision, value);
                if (written.isPresent()) {
                    return true;
                }
                // A refusal after a lost response may be caused by this same write.
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

    /** Returns whether the stored head is, or follows, the given one. */
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
                "revision " + head.revision() + " is no longer listed in config/head", CallOutcome.UNKNOWN);
    }
}
