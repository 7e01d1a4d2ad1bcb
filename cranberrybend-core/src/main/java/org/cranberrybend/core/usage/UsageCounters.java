package org.cranberrybend.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Cumulative usage of one router incarnation per window, and which receivers acknowledged it.
 *
 * <p>A window is kept until it is old and two receivers acknowledged its last figures: a receiver that is replaced
 * lost what its predecessor knew, and gets every kept window again. Of a window that a receiver acknowledged before, it
 * gets only the keys changed since: a whole window of 3,000 keys each second is 290 kB to two receivers. Not thread-safe;
 * the owner serializes access.
 */
public final class UsageCounters {
    /** Length of a window in milliseconds. */
    public static final long WINDOW_MS = 60_000;

    /** Age of a window's start before which it is never dropped, in milliseconds. */
    public static final long RETENTION_MS = 5 * WINDOW_MS;

    /** Receivers that must have acknowledged a window before it is dropped. */
    public static final int MIN_ACKNOWLEDGEMENTS = 2;

    private final TreeMap<Long, Window> windows = new TreeMap<>();

    /**
     * A window's figures at one time that a receiver has not acknowledged.
     *
     * @param startMs start of the window, in milliseconds since the epoch
     * @param version increases with each change; given back in {@link #acknowledge}
     * @param totals cumulative figures by key; keys whose figures the receiver holds are left out
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

    /** Figures of one key and the window's version at their last change. */
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

    /** Returns what the receiver has not acknowledged of each window, oldest first. */
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

    /** Records that a receiver holds the figures of a snapshot. Late acknowledgements do not replace newer ones. */
    public void acknowledge(String receiver, long startMs, long version) {
        Window window = windows.get(startMs);
        if (window != null) {
            window.acknowledgedVersions.merge(receiver, version, Math::max);
        }
    }

    /** Drops the windows that are older than {@link #RETENTION_MS} and acknowledged, and returns their number. */
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
