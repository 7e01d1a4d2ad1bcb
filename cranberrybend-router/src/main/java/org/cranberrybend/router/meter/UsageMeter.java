package org.cranberrybend.router.meter;

import java.util.List;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.core.usage.UsageCounters;
import org.cranberrybend.core.usage.UsageKey;
import org.cranberrybend.core.usage.UsageTotals;

/** Usage of this router incarnation. Its lock is the one of the usage counters in the lock order. */
public final class UsageMeter {
    private final TimeSource timeSource;
    private final UsageCounters counters = new UsageCounters();

    /** Creates empty counters with the clock that assigns windows. */
    public UsageMeter(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Counts a request that ends now. */
    public void count(UsageKey key, UsageTotals usage) {
        long nowMs = timeSource.wallMs();
        synchronized (counters) {
            counters.add(nowMs, key, usage);
        }
    }

    /** Returns the windows that a receiver has not acknowledged. */
    public List<UsageCounters.Snapshot> pendingFor(String receiver) {
        synchronized (counters) {
            return counters.pendingFor(receiver);
        }
    }

    /** Records an acknowledgement. */
    public void acknowledge(String receiver, UsageCounters.Snapshot snapshot) {
        synchronized (counters) {
            counters.acknowledge(receiver, snapshot.startMs(), snapshot.version());
        }
    }

    /** Drops old windows that two receivers hold. */
    public void dropOld() {
        long nowMs = timeSource.wallMs();
        synchronized (counters) {
            counters.evictAcknowledged(nowMs);
        }
    }
}
