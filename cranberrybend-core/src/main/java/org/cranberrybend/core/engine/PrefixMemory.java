package org.cranberrybend.core.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Prefixes that this instance has sent to engines lately, so that they are probably in the engines' caches. The least
 * recently used ones are forgotten first; the number of entries is limited for all engines of a service together.
 */
public final class PrefixMemory {
    /** Entries kept; 4,096 take about 0.4 MB. */
    private static final int MAX_ENTRIES = 4_096;
    /** Time after which an engine has probably evicted a prefix that was not used. */
    private static final long RETENTION_MS = 60_000;

    /** Multiplier that spreads the bits of a prefix hash: 2^64 divided by the golden ratio. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final Map<Long, Long> usedAtMs = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /**
     * Records that a prefix is sent to an engine.
     *
     * @param prefixHash hash of the prefix
     * @param engineHash hash that identifies the engine
     */
    public void recordSent(long prefixHash, long engineHash, long nowMs) {
        usedAtMs.put(key(prefixHash, engineHash), nowMs);
    }

    /** Returns whether a prefix was sent to an engine within the retention period. */
    public boolean isCached(long prefixHash, long engineHash, long nowMs) {
        Long atMs = usedAtMs.get(key(prefixHash, engineHash));
        return atMs != null && nowMs - atMs <= RETENTION_MS;
    }

    private static long key(long prefixHash, long engineHash) {
        return Long.rotateLeft(prefixHash * HASH_MULTIPLIER, 31) ^ engineHash;
    }
}
