package org.cranberrybend.controller.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/**
 * Deletes shard values to which the head no longer refers.
 *
 * <p>A value is deleted only if it was already unreferenced, with the same key revision, {@link #DELETION_DELAY_MS}
 * earlier. A writer that reuses an existing value writes it again first, which changes the revision of its key, and
 * then writes the head well within the delay.
 *
 * <p>Confined to one thread.
 */
public final class ShardCleaner {
    /** Time for which an unreferenced shard value is kept, in milliseconds, for readers of an earlier head. */
    public static final long DELETION_DELAY_MS = 600_000;

    // Sweeps are rare because listing the shards reads the whole configuration.
    private static final long SWEEP_PERIOD_MS = 3_600_000;

    private final KeyValueStore store;
    private final TimeSource time;
    private final Map<String, Candidate> candidates = new HashMap<>();
    private long nextSweepMs;

    private record Candidate(long revision, long firstSeenMs) {}

    /** Creates a cleaner of the shards in the given store. */
    public ShardCleaner(KeyValueStore store, TimeSource time) {
        this.store = store;
        this.time = time;
        this.nextSweepMs = time.monotonicMs();
    }

    /** Records the shard values to which the new head no longer refers, and deletes the values that are due. */
    void clean(ConfigurationHead previous, ConfigurationHead current) throws PlatformException {
        for (int i = 0; i < ConfigurationHead.SHARDS; i++) {
            String digest = previous.shardDigests().get(i);
            if (!digest.isEmpty() && !digest.equals(current.shardDigests().get(i))) {
                addCandidate(store.get(ConfigurationCodec.shardKey(i, digest)));
            }
        }
        if (time.monotonicMs() >= nextSweepMs) {
            sweep(current);
            nextSweepMs = time.monotonicMs() + SWEEP_PERIOD_MS;
        }
        deleteDue();
    }

    /** Finds values left behind by writers that did not write a head, or by other cleaners. */
    private void sweep(ConfigurationHead current) throws PlatformException {
        Set<String> referenced = referencedKeys(current);
        for (VersionedValue each : store.list(ConfigurationRepository.SHARD_PREFIX)) {
            if (!referenced.contains(each.key())) {
                addCandidate(each);
            }
        }
    }

    private void addCandidate(VersionedValue value) {
        if (value.exists()) {
            candidates.merge(
                    value.key(),
                    new Candidate(value.revision(), time.monotonicMs()),
                    (earlier, later) -> earlier.revision() == later.revision() ? earlier : later);
        }
    }

    private void deleteDue() throws PlatformException {
        long dueMs = time.monotonicMs() - DELETION_DELAY_MS;
        List<Candidate> due = candidates.values().stream()
                .filter(each -> each.firstSeenMs() <= dueMs)
                .toList();
        if (due.isEmpty()) {
            return;
        }
        Set<String> referenced =
                referencedKeys(ConfigurationRepository.decode(store.get(ConfigurationRepository.HEAD_KEY)));
        Iterator<Map.Entry<String, Candidate>> remaining = candidates.entrySet().iterator();
        while (remaining.hasNext()) {
            Map.Entry<String, Candidate> entry = remaining.next();
            if (entry.getValue().firstSeenMs() > dueMs) {
                continue;
            }
            if (!referenced.contains(entry.getKey())) {
                store.compareAndDelete(entry.getKey(), entry.getValue().revision());
            }
            remaining.remove();
        }
    }

    private static Set<String> referencedKeys(ConfigurationHead head) {
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < ConfigurationHead.SHARDS; i++) {
            keys.add(ConfigurationCodec.shardKey(i, head.shardDigests().get(i)));
        }
        return keys;
    }
}
