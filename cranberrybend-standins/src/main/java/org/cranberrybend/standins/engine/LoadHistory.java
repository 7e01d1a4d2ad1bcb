package org.cranberrybend.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.standins.engine.SlotTable.Load;

/**
 * Recent loads of the engine, from which it reports the load of a moment ago. A load is recorded whenever a request
 * arrives or ends.
 */
final class LoadHistory {
    private final TimeSource time;
    private final long lagMs;
    private final Deque<Entry> entries = new ArrayDeque<>();

    private record Entry(long timeMs, Load load) {}

    LoadHistory(TimeSource time, long lagMs) {
        this.time = time;
        this.lagMs = lagMs;
        entries.add(new Entry(time.monotonicMs() - lagMs, new Load(0, 0, 0)));
    }

    synchronized void add(Load load) {
        entries.addLast(new Entry(time.monotonicMs(), load));
        lagged();
    }

    /** Returns the load of {@code lagMs} ago and evicts older entries. */
    synchronized Load lagged() {
        long asOfMs = time.monotonicMs() - lagMs;
        Entry latest = entries.peekFirst();
        while (!entries.isEmpty() && entries.peekFirst().timeMs() <= asOfMs) {
            latest = entries.pollFirst();
        }
        entries.addFirst(latest);
        return latest.load();
    }
}
