package org.cranberrybend.core.configuration;

import com.google.common.collect.ImmutableSortedSet;

/**
 * Identifiers of API keys that were revoked while the key-value store was unavailable.
 *
 * <p>A grow-only set (G-set): merging does not depend on the order, and a late message cannot undo a revocation.
 *
 * @param keyIds public identifiers of the revoked keys
 */
public record RevocationSet(ImmutableSortedSet<String> keyIds) {
    /** The empty set. */
    public static final RevocationSet EMPTY = new RevocationSet(ImmutableSortedSet.of());

    /** Returns this set with the given key added. */
    public RevocationSet with(String keyId) {
        return merge(new RevocationSet(ImmutableSortedSet.of(keyId)));
    }

    /** Returns the union of both sets. */
    public RevocationSet merge(RevocationSet other) {
        if (keyIds.containsAll(other.keyIds)) {
            return this;
        }
        return new RevocationSet(ImmutableSortedSet.<String>naturalOrder()
                .addAll(keyIds)
                .addAll(other.keyIds)
                .build());
    }

    /** Returns whether the key was revoked. */
    public boolean contains(String keyId) {
        return keyIds.contains(keyId);
    }
}
