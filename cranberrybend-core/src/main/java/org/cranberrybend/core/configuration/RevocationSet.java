package org.cranberrybend.core.configuration;

import com.google.common.collect.ImmutableSortedSet;

/**
 * Key identifiers revoked while the key-value service could not be reached.
 *
 * <p>The set only grows, so merging is order-independent and a revocation cannot be undone by a late message.
 *
 * @param keyIds public identifiers of the revoked keys
 */
public record RevocationSet(ImmutableSortedSet<String> keyIds) {
    /** The empty set. */
    public static final RevocationSet EMPTY = new RevocationSet(ImmutableSortedSet.of());

    /** Returns this set with one more key. */
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
