package org.cranberrybend.controller.usage;

import java.util.Map;
import java.util.Optional;
import org.cranberrybend.controller.lease.LeaseHolder;
import org.cranberrybend.controller.schedule.RepeatedTask;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.core.usage.UsageWindow;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.UsageReports;

/**
 * Duties of the holder of the usage lease: seals windows and reports them in order.
 *
 * <p>A report is sent with exactly the sealed bytes, immediately after a check of the lease, and repeated until it is
 * accepted. Sealing needs no proof of the lease, because create-only writes decide it.
 *
 * <p>Used by one thread.
 */
public final class UsageDuty implements RepeatedTask.Step {
    private static final long PERIOD_MS = 1_000;
    // Bounds one run after an outage, so that reports do not wait for all windows to be sealed.
    private static final int WINDOWS_PER_RUN = 20;

    private final UsageStore store;
    private final WindowSealer sealer;
    private final UsageReports reports;
    private final LeaseHolder lease;
    private final TimeSource time;
    private final EventLog events;
    private final long sealDelayMs;
    private long failedWindowMs = -1;
    /** Farthest progress known to this process; null before the first read. */
    private UsageProgress known;

    /** Creates the duties; {@code sealDelayMs} is the time from a window's end to its sealing. */
    public UsageDuty(
            KeyValueStore keyValueStore,
            UsageReports reports,
            LeaseHolder lease,
            TimeSource time,
            EventLog events,
            long sealDelayMs) {
        this.store = new UsageStore(keyValueStore);
        this.sealer = new WindowSealer(store, events);
        this.reports = reports;
        this.lease = lease;
        this.time = time;
        this.events = events;
        this.sealDelayMs = sealDelayMs;
    }

    @Override
    public long run() {
        if (lease.check().isEmpty()) {
            return PERIOD_MS;
        }
        try {
            UsageProgress progress = readProgress();
            UsageWindow unsealed = sealDue(progress);
            advance(progress.withSealedUntil(unsealed.startMs()));
            report(progress, unsealed);
        } catch (PlatformException e) {
            // Without the key-value service nothing is sealed or reported; the next run tries again.
            return PERIOD_MS;
        }
        return PERIOD_MS;
    }

    /**
     * Reads the stored progress. If it is behind what this process knows, the service came back with older data, and
     * the sealed windows that it lost are written back.
     */
    private UsageProgress readProgress() throws PlatformException {
        UsageProgress initial = known != null
                ? known
                : UsageProgress.startingAt(UsageWindow.containing(time.wallMs()).startMs());
        UsageProgress stored = store.progressOr(initial);
        if (known != null && stored.sealedUntilMs() < known.sealedUntilMs()) {
            store.restoreSealed(new UsageWindow(stored.sealedUntilMs()), new UsageWindow(known.sealedUntilMs()));
        }
        known = known == null ? stored : stored.merge(known);
        return known;
    }

    private void advance(UsageProgress progress) throws PlatformException {
        known = progress.merge(known);
        store.advance(known);
    }

    /** Seals the windows that are due and returns the first one that is not sealed. */
    private UsageWindow sealDue(UsageProgress progress) throws PlatformException {
        UsageWindow first = new UsageWindow(progress.firstWindowMs());
        UsageWindow window = new UsageWindow(progress.sealedUntilMs());
        int count = 0;
        while (count < WINDOWS_PER_RUN && isDue(window) && lease.check().isPresent()) {
            if (store.sealedBytes(window).isEmpty()) {
                sealer.seal(window, first);
                count++;
            }
            window = window.next();
        }
        return window;
    }

    private boolean isDue(UsageWindow window) {
        return time.wallMs() >= window.endMs() + sealDelayMs;
    }

    private void report(UsageProgress progress, UsageWindow unsealed) throws PlatformException {
        UsageWindow window = new UsageWindow(progress.reportedUntilMs());
        while (window.compareTo(unsealed) < 0) {
            Optional<byte[]> bytes = store.sealedBytes(window);
            if (bytes.isEmpty()) {
                throw new PlatformException(
                        UsageKeys.sealed(window) + " does not exist any more", CallOutcome.NOT_ACCEPTED);
            }
            if (lease.check().isEmpty() || !lease.isSuccessorWaitOver() || !send(window, bytes.get())) {
                return;
            }
            window = window.next();
            advance(progress.withReportedUntil(window.startMs()));
        }
    }

    private boolean send(UsageWindow window, byte[] bytes) {
        try {
            reports.put(window.startMs(), bytes);
        } catch (PlatformException e) {
            if (failedWindowMs != window.startMs()) {
                failedWindowMs = window.startMs();
                events.record(
                        EventCode.USAGE_REPORT_FAILED,
                        "window " + window.startMs(),
                        Map.of("reason", String.valueOf(e.getMessage())));
            }
            return false;
        }
        events.record(EventCode.USAGE_REPORTED, "window " + window.startMs(), Map.of("bytes", bytes.length));
        return true;
    }
}
