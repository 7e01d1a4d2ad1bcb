package org.cranberrybend.entry.usage;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the requests that upstreams started to execute for this process, by window and client account. Counts only
 * grow. Confined to the event loop.
 */
public final class UsageCounter {
    private final long windowMs;
    private final SteadyWallClock clock;
    private final TreeMap<Long, Map<String, Long>> countsByWindow = new TreeMap<>();

    /** Creates a counter for windows of the given length. */
    public UsageCounter(long windowMs, SteadyWallClock clock) {
        this.windowMs = windowMs;
        this.clock = clock;
    }

    /** Counts a request whose execution starts now. */
    public void recordStart(String account) {
        countsByWindow
                .computeIfAbsent(currentWindow(), window -> new LinkedHashMap<>())
                .merge(account, 1L, Long::sum);
    }

    /** Returns the current window. */
    public long currentWindow() {
        return Math.floorDiv(clock.nowMs(), windowMs);
    }

    /** Returns the time since the start of the current window in milliseconds. */
    public long elapsedInWindowMs() {
        return Math.floorMod(clock.nowMs(), windowMs);
    }

    /** Returns the window that was current the given time ago. */
    public long windowBefore(long backMs) {
        return Math.floorDiv(clock.nowMs() - backMs, windowMs);
    }

    /** Returns the counts of a window. */
    public Map<String, Long> counts(long window) {
        return Map.copyOf(countsByWindow.getOrDefault(window, Map.of()));
    }

    /** Removes the counts of the windows before the given one. */
    public void removeBefore(long window) {
        countsByWindow.headMap(window).clear();
    }
}
