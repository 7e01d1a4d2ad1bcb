package org.cranberrybend.entry.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreRevision;

/**
 * Log of the latest changes under one prefix of the store, complete between two revisions.
 *
 * <p>Values may have any size up to that of the store's largest one, and a large one may be written several times a
 * second, so the log is bounded by the heap that it occupies rather than by the number of its changes. A value is
 * discarded when its key changes again: a follower needs the state at the last revision, not the ones before it.
 * Deletions are kept, since a key that was deleted and written again may stand for another process.
 */
final class ChangeLog {
    /** Largest heap of a log; the store's largest value is half of it. */
    static final int MAX_BYTES = 2 * 1024 * 1024;
    /** Heap of a change beside its key and value: its objects and its entries in the maps. */
    private static final int CHANGE_OVERHEAD_BYTES = 400;

    /** Changes in the order of their revisions. */
    private final Map<ChangeId, StoreChange> changes = new LinkedHashMap<>();

    /** The change in the log that has the value of a key. */
    private final Map<String, ChangeId> valuesByKey = new HashMap<>();

    private record ChangeId(long revision, String key) {
        static ChangeId of(StoreChange change) {
            return new ChangeId(change.revision(), change.key());
        }
    }

    private long bytes;
    /** Revision after which the log is complete. */
    private long firstRevision = Long.MAX_VALUE;
    /** Revision up to which the log is complete. */
    private long lastRevision = Long.MIN_VALUE;

    /**
     * Appends the changes that the store sent after a revision. If that is not the last revision of the log, changes
     * may be missing in between, and the earlier entries are discarded.
     *
     * @param kept the changes that followers need
     */
    void append(long afterRevision, long revision, List<StoreChange> kept) {
        if (afterRevision != lastRevision) {
            clear();
            firstRevision = afterRevision;
        }
        kept.forEach(this::add);
        lastRevision = Math.max(afterRevision, revision);
        while (bytes > MAX_BYTES) {
            ChangeId oldest = changes.keySet().iterator().next();
            remove(oldest);
            firstRevision = oldest.revision();
        }
    }

    private void clear() {
        changes.clear();
        valuesByKey.clear();
        bytes = 0;
    }

    private void add(StoreChange change) {
        ChangeId id = ChangeId.of(change);
        ChangeId replaced = valuesByKey.get(change.key());
        if (replaced != null) {
            remove(replaced);
        }
        changes.put(id, change);
        bytes += bytesOf(change);
        if (change.item().isPresent()) {
            valuesByKey.put(change.key(), id);
        }
    }

    private void remove(ChangeId id) {
        bytes -= bytesOf(changes.remove(id));
        valuesByKey.remove(id.key(), id);
    }

    private static long bytesOf(StoreChange change) {
        int valueBytes = change.item().map(item -> item.value().length).orElse(0);
        return CHANGE_OVERHEAD_BYTES + change.key().length() + valueBytes;
    }

    /**
     * Returns the changes after a revision, without values that were replaced since; empty if the log does not reach
     * back that far.
     */
    Optional<StoreChanges> since(long afterRevision) {
        if (afterRevision < firstRevision || !StoreRevision.isSameEpoch(afterRevision, lastRevision)) {
            return Optional.empty();
        }
        List<StoreChange> changesAfter = new ArrayList<>();
        for (StoreChange change : changes.values()) {
            if (change.revision() > afterRevision) {
                changesAfter.add(change);
            }
        }
        return Optional.of(new StoreChanges(changesAfter, Math.max(afterRevision, lastRevision)));
    }
}
