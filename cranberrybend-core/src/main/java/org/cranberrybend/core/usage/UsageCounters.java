package org.cranberrybend.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Cumulative usage of one router incarnation by window, and which receivers have acknowledged it.
 *
 * <p>A window is kept until its retention time is over and two receivers have acknowledged its final version. A
 * receiver that replaces another one lacks what its predecessor knew, so it gets every kept window again. Of a window
 * that a receiver has acknowledged before, it gets only the keys that changed since: sending a whole window of 3,000
 * keys to two receivers every second takes 290 kB.
 *
 * <p>Not thread-safe; the owner serializes access.
 */
public final class UsageCounters {
    /** Length of a window in milliseconds. */
    public static final long WINDOW_MS = 60_000;

    /** Minimum time from the start of a window until it is evicted, in milliseconds. */
    public static final long RETENTION_MS = 5 * WINDOW_MS;

    /** Number of receivers that must have acknowledged a window before it is evicted. */
    public static final int MIN_ACKNOWLEDGEMENTS = 2;

    private final TreeMap<Long, Window> windows = new TreeMap<>();

    /**
     * The usage of a window that a receiver has not acknowledged, at one point in time.
     *
     * @param startMs start of the window, in milliseconds since the epoch
     * @param version version of the window, which increases with each change; passed to {@link #acknowledge}
     * @param totals cumulative totals by key, without the keys that have not changed since the last acknowledged
     *     version
     */
    public record Snapshot(long startMs, long version, Map<UsageKey, UsageTotals> totals) {
        public Snapshot {
            totals = Map.copyOf(totals);
        }
    }

    private static final class Window {
        private final Map<UsageKey, Counter> counters = new HashMap<>();
        private final Map<String, Long> acknowledgedVersions = new HashMap<>();
        private long version;

        private boolean isAcknowledgedBy(String receiver) {
            return acknowledgedVersion(receiver) == version;
        }

        private long acknowledgedVersion(String receiver) {
            return acknowledgedVersions.getOrDefault(receiver, -1L);
        }

        private Map<UsageKey, UsageTotals> changedAfter(long acknowledgedVersion) {
            Map<UsageKey, UsageTotals> changed = new HashMap<>();
            counters.forEach((key, counter) -> {
                if (counter.version > acknowledgedVersion) {
                    changed.put(key, counter.totals);
                }
            });
            return changed;
        }
    }

    /** Totals of one key, with the version of the window at their last change. */
    private static final class Counter {
        private UsageTotals totals = UsageTotals.NONE;
        private long version;
    }

    /** Adds usage to the window in which the request ended. */
    public void add(long endedAtMs, UsageKey key, UsageTotals usage) {
        long startMs = Math.floorDiv(endedAtMs, WINDOW_MS) * WINDOW_MS;
        Window window = windows.computeIfAbsent(startMs, ignored -> new Window());
        window.version++;
        Counter counter = window.counters.computeIfAbsent(key, ignored -> new Counter());
        counter.totals = counter.totals.plus(usage);
        counter.version = window.version;
    }

    /** Returns the usage of each window that the receiver has not acknowledged, oldest window first. */
    public List<Snapshot> pendingFor(String receiver) {
        List<Snapshot> pending = new ArrayList<>();
        windows.forEach((startMs, window) -> {
            if (!window.isAcknowledgedBy(receiver)) {
                pending.add(new Snapshot(
                        startMs, window.version, window.changedAfter(window.acknowledgedVersion(receiver))));
            }
        });
        return pending;
    }

    /**
     * Records that a receiver has stored a snapshot. A late acknowledgement does not override that of a newer version.
     */
    public void acknowledge(String receiver, long startMs, long version) {
        Window window = windows.get(startMs);
        if (window != null) {
            window.acknowledgedVersions.merge(receiver, version, Math::max);
        }
    }

    /**
     * Evicts the windows that are older than {@link #RETENTION_MS} and acknowledged by enough receivers, and returns
     * their number.
     */
    public int evictAcknowledged(long nowMs) {
        int before = windows.size();
        windows.headMap(nowMs - RETENTION_MS, false).values().removeIf(window -> {
            long receivers = window.acknowledgedVersions.keySet().stream()
                    .filter(window::isAcknowledgedBy)
                    .count();
            return receivers >= MIN_ACKNOWLEDGEMENTS;
        });
        return before - windows.size();
    }

    /** Returns the number of windows held. */
    public int windowCount() {
        return windows.size();
    }
}
