package org.cranberrybend.core.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Rendezvous (highest random weight) hashing: each key prefers the candidate with the highest hash of the pair. */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns the hash of a key and a candidate, which is the same in every process and build. */
    public static long hash(String key, String candidate) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putChar('\0')
                .putString(candidate, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /**
     * Returns a hash of a key and a candidate that have been hashed before, which takes a few operations only. It is the
     * same in every process and build (finalizer of MurmurHash3).
     */
    public static long combine(long keyHash, long candidateHash) {
        long mixed = keyHash ^ Long.rotateLeft(candidateHash, 32);
        mixed = (mixed ^ mixed >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }

    /** Returns the candidate with the highest hash, independent of the order of the collection. */
    public static Optional<String> choose(String key, Collection<String> candidates) {
        return candidates.stream()
                .max(Comparator.<String>comparingLong(each -> hash(key, each))
                        .thenComparing(Comparator.naturalOrder()));
    }
}
