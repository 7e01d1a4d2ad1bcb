package org.cranberrybend.router.meter;

import java.util.List;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.core.usage.UsageCounters;
import org.cranberrybend.core.usage.UsageKey;
import org.cranberrybend.core.usage.UsageTotals;

/** Thread-safe usage counters of this router incarnation. Its lock is the usage counter lock in the lock order. */
public final class UsageMeter {
    private final TimeSource timeSource;
    private final UsageCounters counters = new UsageCounters();

    /** Creates empty counters; the wall clock of {@code timeSource} assigns requests to windows. */
    public UsageMeter(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Counts a request that has just ended. */
    public void count(UsageKey key, UsageTotals usage) {
        long nowMs = timeSource.wallMs();
        synchronized (counters) {
            counters.add(nowMs, key, usage);
        }
    }

    /** Returns the usage that a receiver has not acknowledged, by window. */
    public List<UsageCounters.Snapshot> pendingFor(String receiver) {
        synchronized (counters) {
            return counters.pendingFor(receiver);
        }
    }

    /** Records that a receiver acknowledged a snapshot. */
    public void acknowledge(String receiver, UsageCounters.Snapshot snapshot) {
        synchronized (counters) {
            counters.acknowledge(receiver, snapshot.startMs(), snapshot.version());
        }
    }

    /** Removes the windows that exceed the retention time and were acknowledged by enough receivers. */
    public void evictAcknowledged() {
        long nowMs = timeSource.wallMs();
        synchronized (counters) {
            counters.evictAcknowledged(nowMs);
        }
    }
}
