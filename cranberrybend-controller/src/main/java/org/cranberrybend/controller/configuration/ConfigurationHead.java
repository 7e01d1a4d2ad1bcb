package org.cranberrybend.controller.configuration;

import java.util.Collections;
import java.util.List;
import org.cranberrybend.core.configuration.ChangeSet;

/**
 * Value of the key {@code config/head}.
 *
 * @param revision revision of the configuration
 * @param chainDigest digest over the whole history, see {@link ChangeSet#chainDigest()}
 * @param previousDigest chain digest of the previous revision
 * @param author author of the last change
 * @param timeMs wall clock of the last change in milliseconds since the epoch
 * @param shardDigests digests of the shards, ordered by index; empty for a shard without entities
 * @param recentChanges latest change sets, ordered by revision; the last one is that of {@code revision}
 */
public record ConfigurationHead(
        long revision,
        String chainDigest,
        String previousDigest,
        String author,
        long timeMs,
        List<String> shardDigests,
        List<ChangeSet> recentChanges) {
    /** Number of shards of the configuration. */
    public static final int SHARDS = 64;

    /** Head before the first change. It is never stored. */
    public static final ConfigurationHead EMPTY =
            new ConfigurationHead(0, "", "", "", 0, Collections.nCopies(SHARDS, ""), List.of());

    public ConfigurationHead {
        shardDigests = List.copyOf(shardDigests);
        recentChanges = List.copyOf(recentChanges);
        if (shardDigests.size() != SHARDS) {
            throw new IllegalArgumentException(
                    "shard_digests must have " + SHARDS + " elements: " + shardDigests.size());
        }
        if (revision < 0 || chainDigest == null || previousDigest == null) {
            throw new IllegalArgumentException("revision must not be negative, and digests must be present");
        }
        long expected = revision - recentChanges.size();
        for (ChangeSet change : recentChanges) {
            expected++;
            if (change.revision() != expected) {
                throw new IllegalArgumentException("recent_changes must be contiguous up to revision " + revision
                        + "; found revision " + change.revision() + ", expected " + expected);
            }
        }
    }

    /** Returns whether both heads have the same revision and the same history. */
    public boolean isSameConfiguration(ConfigurationHead other) {
        return revision == other.revision && chainDigest.equals(other.chainDigest);
    }

    /** Returns the change sets after a revision that are still included in this head. */
    public List<ChangeSet> changesAfter(long seenRevision) {
        return recentChanges.stream()
                .filter(each -> each.revision() > seenRevision)
                .toList();
    }
}
