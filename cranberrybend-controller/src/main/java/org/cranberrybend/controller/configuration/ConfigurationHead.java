package org.cranberrybend.controller.configuration;

import java.util.Collections;
import java.util.List;
import org.cranberrybend.core.configuration.ChangeSet;

/**
 * Content of the key {@code config/head}.
 *
 * @param revision revision of the configuration
 * @param chainDigest digest over the whole history, see {@link ChangeSet#chainDigest()}
 * @param previousDigest chain digest of the revision before
 * @param author author of the last change
 * @param timeMs wall clock of the last change in milliseconds since the epoch
 * @param shardDigests digests of the shards in the order of their index; empty for a shard without entities
 * @param recentChanges last change sets in order of revision; the last one is that of {@code revision}
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

    /** The head before the first change, which is never stored. */
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
            throw new IllegalArgumentException("head lacks its revision or a digest");
        }
        long expected = revision - recentChanges.size();
        for (ChangeSet change : recentChanges) {
            expected++;
            if (change.revision() != expected) {
                throw new IllegalArgumentException("recent_changes must end at revision " + revision
                        + " without gaps; found " + change.revision() + " in place of " + expected);
            }
        }
    }

    /** Returns whether both heads are the same revision of the same history. */
    public boolean isSameConfiguration(ConfigurationHead other) {
        return revision == other.revision && chainDigest.equals(other.chainDigest);
    }

    /** Returns the change sets after a revision, as far as they are kept inline. */
    public List<ChangeSet> changesAfter(long seenRevision) {
        return recentChanges.stream()
                .filter(each -> each.revision() > seenRevision)
                .toList();
    }
}
