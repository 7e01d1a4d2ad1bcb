package org.cranberrybend.standins.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.cranberrybend.core.time.TimeSource;

/** The instance list. A change becomes visible to readers after a configured propagation delay, the lag. */
public final class InstanceList {
    private final TimeSource time;
    private final long lagMs;
    private final TreeMap<String, InstanceEntry> visible = new TreeMap<>();
    private final TreeMap<String, InstanceEntry> latest = new TreeMap<>();
    private final PriorityQueue<Change> pending =
            new PriorityQueue<>(Comparator.comparingLong(Change::visibleMs).thenComparingLong(Change::sequence));
    private long lastSequence;

    private record Change(long visibleMs, long sequence, String id, InstanceEntry entry) {}

    /** Creates a list whose initial entries are visible immediately. */
    public InstanceList(TimeSource time, long lagMs, List<InstanceEntry> entries) {
        this.time = time;
        this.lagMs = lagMs;
        entries.forEach(each -> {
            visible.put(each.id(), each);
            latest.put(each.id(), each);
        });
    }

    /** Sets an entry, visible after the given delay plus the lag, in milliseconds. */
    public synchronized void set(InstanceEntry entry, long delayMs) {
        latest.put(entry.id(), entry);
        schedule(entry.id(), entry, delayMs);
    }

    /** Removes an entry, visible after the given delay plus the lag, in milliseconds; returns whether it existed. */
    public synchronized boolean remove(String id, long delayMs) {
        boolean existed = latest.remove(id) != null;
        if (existed) {
            schedule(id, null, delayMs);
        }
        return existed;
    }

    private void schedule(String id, InstanceEntry entry, long delayMs) {
        pending.add(new Change(time.monotonicMs() + delayMs + lagMs, ++lastSequence, id, entry));
    }

    /** Returns an entry with all changes, including those not visible yet. */
    public synchronized Optional<InstanceEntry> latest(String id) {
        return Optional.ofNullable(latest.get(id));
    }

    /** Returns whether an instance is visible or will become visible. */
    public synchronized boolean isInUse(String id) {
        applyDueChanges();
        return latest.containsKey(id) || visible.containsKey(id);
    }

    /** Returns the visible entries, ordered by identifier. */
    public synchronized List<InstanceEntry> visible() {
        applyDueChanges();
        return new ArrayList<>(visible.values());
    }

    private void applyDueChanges() {
        long nowMs = time.monotonicMs();
        while (!pending.isEmpty() && pending.peek().visibleMs() <= nowMs) {
            Change change = pending.poll();
            if (change.entry() == null) {
                visible.remove(change.id());
            } else {
                visible.put(change.id(), change.entry());
            }
        }
    }
}
