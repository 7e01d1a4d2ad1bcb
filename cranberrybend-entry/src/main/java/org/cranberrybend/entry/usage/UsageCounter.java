package org.cranberrybend.entry.usage;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Requests that began to run through this process, by window and client account. Counts only grow. Confined to the
 * event loop.
 */
public final class UsageCounter {
    private final long windowMs;
    private final TrueClock clock;
    private final TreeMap<Long, Map<String, Long>> countsByWindow = new TreeMap<>();

    /** Creates a counter for windows of the given length. */
    public UsageCounter(long windowMs, TrueClock clock) {
        this.windowMs = windowMs;
        this.clock = clock;
    }

    /** Counts a request that began to run now. */
    public void recordStart(String account) {
        countsByWindow
                .computeIfAbsent(window(), window -> new LinkedHashMap<>())
                .merge(account, 1L, Long::sum);
    }

    /** Returns the window of the present time. */
    public long window() {
        return Math.floorDiv(clock.nowMs(), windowMs);
    }

    /** Returns the window of the time that lies the given time back. */
    public long windowBefore(long backMs) {
        return Math.floorDiv(clock.nowMs() - backMs, windowMs);
    }

    /** Returns the counts of a window. */
    public Map<String, Long> counts(long window) {
        return Map.copyOf(countsByWindow.getOrDefault(window, Map.of()));
    }

    /** Forgets the windows before the given one. */
    public void forgetBefore(long window) {
        countsByWindow.headMap(window).clear();
    }
}
