package org.cranberrybend.controller.usage;

import java.util.Map;
import java.util.Optional;
import org.cranberrybend.controller.lease.LeaseHolder;
import org.cranberrybend.controller.schedule.PeriodicTask;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.core.usage.UsageWindow;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.UsageReports;

/**
 * Duty of the usage lease holder: seals the windows that are due and reports sealed windows in order.
 *
 * <p>A report contains exactly the sealed bytes. It is sent immediately after a check of the lease and repeated until
 * the platform accepts it. Sealing does not depend on the lease for correctness, because a window is sealed by a
 * create-only write.
 *
 * <p>Confined to one thread.
 */
public final class UsageDuty implements PeriodicTask.Step {
    private static final long PERIOD_MS = 1_000;
    // Bounds one run after an outage, so that reports are not delayed until all due windows are sealed.
    private static final int MAX_WINDOWS_PER_RUN = 20;

    private final UsageStore store;
    private final WindowSealer sealer;
    private final UsageReports reports;
    private final LeaseHolder lease;
    private final TimeSource time;
    private final EventLog events;
    private final long sealDelayMs;
    private long lastFailedWindowMs = -1;
    /** Most advanced progress known to this process; null before the first read. */
    private UsageProgress latestProgress;

    /** Creates the duty; {@code sealDelayMs} is the time from the end of a window to its sealing. */
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
            advanceProgress(progress.withSealedUntil(unsealed.startMs()));
            reportSealed(progress, unsealed);
        } catch (PlatformException e) {
            // Nothing is sealed or reported while the key-value store is unavailable. The next run retries.
            return PERIOD_MS;
        }
        return PERIOD_MS;
    }

    /**
     * Reads the stored progress. If it is behind the progress known to this process, the key-value store has been
     * rolled back to older data, and the sealed windows that it lost are written again.
     */
    private UsageProgress readProgress() throws PlatformException {
        UsageProgress initial = latestProgress != null
                ? latestProgress
                : UsageProgress.startingAt(UsageWindow.containing(time.wallMs()).startMs());
        UsageProgress stored = store.progressOrCreate(initial);
        if (latestProgress != null && stored.sealedUntilMs() < latestProgress.sealedUntilMs()) {
            store.restoreSealed(
                    new UsageWindow(stored.sealedUntilMs()), new UsageWindow(latestProgress.sealedUntilMs()));
        }
        latestProgress = latestProgress == null ? stored : stored.merge(latestProgress);
        return latestProgress;
    }

    private void advanceProgress(UsageProgress progress) throws PlatformException {
        latestProgress = progress.merge(latestProgress);
        store.advanceProgress(latestProgress);
    }

    /** Seals the windows that are due and returns the first unsealed window. */
    private UsageWindow sealDue(UsageProgress progress) throws PlatformException {
        UsageWindow first = new UsageWindow(progress.firstWindowMs());
        UsageWindow window = new UsageWindow(progress.sealedUntilMs());
        int count = 0;
        while (count < MAX_WINDOWS_PER_RUN && isDue(window) && lease.check().isPresent()) {
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

    private void reportSealed(UsageProgress progress, UsageWindow unsealed) throws PlatformException {
        UsageWindow window = new UsageWindow(progress.reportedUntilMs());
        while (window.compareTo(unsealed) < 0) {
            Optional<byte[]> bytes = store.sealedBytes(window);
            if (bytes.isEmpty()) {
                throw new PlatformException(
                        UsageStoreKeys.sealed(window) + " no longer exists", CallOutcome.NOT_ACCEPTED);
            }
            if (lease.check().isEmpty() || !lease.isTakeoverDelayOver() || !send(window, bytes.get())) {
                return;
            }
            window = window.next();
            advanceProgress(progress.withReportedUntil(window.startMs()));
        }
    }

    private boolean send(UsageWindow window, byte[] bytes) {
        try {
            reports.put(window.startMs(), bytes);
        } catch (PlatformException e) {
            if (lastFailedWindowMs != window.startMs()) {
                lastFailedWindowMs = window.startMs();
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
