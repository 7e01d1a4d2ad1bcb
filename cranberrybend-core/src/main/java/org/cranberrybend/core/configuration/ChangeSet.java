package org.cranberrybend.core.configuration;

import java.util.List;

/**
 * The changes that lead from one configuration revision to the next.
 *
 * @param revision revision after the changes
 * @param previousDigest chain digest of the revision before
 * @param author operator who made the change
 * @param timeMs wall clock of the change, in milliseconds since the epoch
 * @param changes changes, applied in order
 */
public record ChangeSet(long revision, String previousDigest, String author, long timeMs, List<EntityChange> changes) {
    public ChangeSet {
        if (revision < 1) {
            throw new IllegalArgumentException("revision must be at least 1: " + revision);
        }
        changes = List.copyOf(changes);
    }

    /** Returns the chain digest after this change set: it covers the whole history. */
    public String chainDigest() {
        return CanonicalJson.digestHex(CanonicalJson.write(this));
    }
}
