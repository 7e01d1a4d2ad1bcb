package org.cranberrybend.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.runtime.platform.VersionedValue;

/**
 * In-memory key-value store with revisions. All keys share one revision counter, so a key that is deleted and written
 * again does not repeat a revision. {@link #restore()} is the exception: it resets the counter as well, like a store
 * that lost its latest data and assigns the same revisions again.
 */
public final class KeyValueStore {
    private NavigableMap<String, VersionedValue> values = new TreeMap<>();
    private long lastRevision;
    private NavigableMap<String, VersionedValue> snapshotValues = new TreeMap<>();
    private long snapshotRevision;
    private long interruptions;

    /**
     * Outcome of a conditional write.
     *
     * @param applied whether the write took effect
     * @param revision new revision if the write took effect, otherwise the current revision; 0 if the key is absent
     */
    public record WriteOutcome(boolean applied, long revision) {}

    /** Returns the value of a key; the revision is 0 if the key is absent. */
    public synchronized VersionedValue get(String key) {
        VersionedValue value = values.get(key);
        return value == null ? new VersionedValue(key, 0, new byte[0]) : value;
    }

    /**
     * Waits until the revision of a key exceeds the given one; empty after the time limit or if
     * watches are interrupted.
     */
    public synchronized Optional<VersionedValue> awaitNewer(String key, long afterRevision, long waitMs)
            throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        long interruptionsAtStart = interruptions;
        while (get(key).revision() <= afterRevision) {
            long remainingNs = deadlineNs - System.nanoTime();
            if (remainingNs <= 0 || interruptions != interruptionsAtStart) {
                return Optional.empty();
            }
            TimeUnit.NANOSECONDS.timedWait(this, Math.max(remainingNs, TimeUnit.MILLISECONDS.toNanos(1)));
        }
        return Optional.of(get(key));
    }

    /** Writes a key if its revision is the expected one; a negative expected revision writes unconditionally. */
    public synchronized WriteOutcome put(String key, long expectedRevision, byte[] value) {
        long current = get(key).revision();
        if (expectedRevision >= 0 && expectedRevision != current) {
            return new WriteOutcome(false, current);
        }
        values.put(key, new VersionedValue(key, ++lastRevision, value.clone()));
        notifyAll();
        return new WriteOutcome(true, lastRevision);
    }

    /** Deletes a key if its revision is the expected one; a negative expected revision deletes unconditionally. */
    public synchronized WriteOutcome delete(String key, long expectedRevision) {
        long current = get(key).revision();
        if (current == 0 || (expectedRevision >= 0 && expectedRevision != current)) {
            return new WriteOutcome(false, current);
        }
        values.remove(key);
        return new WriteOutcome(true, ++lastRevision);
    }

    /** Returns the entries whose keys have a prefix, in key order. */
    public synchronized List<VersionedValue> list(String prefix) {
        List<VersionedValue> found = new ArrayList<>();
        for (VersionedValue value : values.tailMap(prefix, true).values()) {
            if (!value.key().startsWith(prefix)) {
                break;
            }
            found.add(value);
        }
        return found;
    }

    /** Saves the current content and revision counter for {@link #restore()}. */
    public synchronized void takeSnapshot() {
        snapshotValues = new TreeMap<>(values);
        snapshotRevision = lastRevision;
    }

    /** Restores the content and revision counter of the last snapshot; without a snapshot, the store becomes empty. */
    public synchronized void restore() {
        values = new TreeMap<>(snapshotValues);
        lastRevision = snapshotRevision;
        notifyAll();
    }

    /** Ends all pending watches. */
    public synchronized void interruptWatches() {
        interruptions++;
        notifyAll();
    }
}
