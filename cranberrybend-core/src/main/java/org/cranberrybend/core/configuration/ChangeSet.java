package org.cranberrybend.core.configuration;

import java.util.List;

/**
 * The changes that lead from one configuration revision to the next.
 *
 * @param revision revision after the changes
 * @param previousDigest chain digest of the previous revision
 * @param author operator who made the changes
 * @param timeMs time of the changes in milliseconds since the epoch
 * @param changes changes in the order in which they are applied
 */
public record ChangeSet(long revision, String previousDigest, String author, long timeMs, List<EntityChange> changes) {
    public ChangeSet {
        if (revision < 1) {
            throw new IllegalArgumentException("revision must be at least 1: " + revision);
        }
        changes = List.copyOf(changes);
    }

    /** Returns the chain digest after this change set. It includes the previous one and so covers the whole history. */
    public String chainDigest() {
        return CanonicalJson.digestHex(CanonicalJson.write(this));
    }
}
