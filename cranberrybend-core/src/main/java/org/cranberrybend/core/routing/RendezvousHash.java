package org.cranberrybend.core.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Rendezvous hashing: of several candidates, each key prefers the one with the highest hash of the pair. */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns a hash that is the same in every process and build. */
    public static long hash(String key, String candidate) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putChar('\0')
                .putString(candidate, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /** Returns the preferred candidate, independent of the order of the collection. */
    public static Optional<String> choose(String key, Collection<String> candidates) {
        return candidates.stream()
                .max(Comparator.<String>comparingLong(each -> hash(key, each))
                        .thenComparing(Comparator.naturalOrder()));
    }
}
