package org.cranberrybend.controller.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.cranberrybend.controller.schedule.PeriodicTask;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.core.usage.UsageLedger;
import org.cranberrybend.core.usage.UsageWindow;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/**
 * Writes the usage collected by this controller to the keys below {@code usage/open}.
 *
 * <p>A stored record may contain usage from before a restart of this controller, so each write merges the existing
 * record. If the window may already be sealed, a late marker is written after the record, so that the sealer reads the
 * window again.
 *
 * <p>Confined to one thread.
 */
public final class OpenUsageWriter implements PeriodicTask.Step {
    // A window is marked as late this long before it can be sealed, because the clocks of instances may differ.
    private static final long MAX_CLOCK_SKEW_MS = 10_000;
    private static final int RETAINED_WINDOWS = 10;
    private static final int MAX_ATTEMPTS = 4;

    private final UsageCollector collector;
    private final KeyValueStore store;
    private final String zone;
    private final String controller;
    private final TimeSource time;
    private final long sealDelayMs;
    private final long periodMs;
    private final Map<UsageWindow, Long> revisions = new HashMap<>();

    /** Creates the writer of a controller; {@code sealDelayMs} is the time from the end of a window to its sealing. */
    public OpenUsageWriter(
            UsageCollector collector,
            KeyValueStore store,
            String zone,
            String controller,
            TimeSource time,
            long sealDelayMs,
            long periodMs) {
        this.collector = collector;
        this.store = store;
        this.zone = zone;
        this.controller = controller;
        this.time = time;
        this.sealDelayMs = sealDelayMs;
        this.periodMs = periodMs;
    }

    @Override
    public long run() {
        try {
            for (UsageCollector.PendingWrite pending : collector.pendingWrites()) {
                write(pending.window(), pending.ledger());
                if (time.wallMs() >= pending.window().endMs() + sealDelayMs - MAX_CLOCK_SKEW_MS) {
                    markLate(pending.window());
                }
                collector.markWritten(pending.window(), pending.version());
            }
            collector
                    .evictBefore(UsageWindow.containing(time.wallMs()).minusWindows(RETAINED_WINDOWS))
                    .forEach(revisions::remove);
        } catch (PlatformException e) {
            // The remaining writes stay pending. The next run retries them.
            return periodMs;
        }
        return periodMs;
    }

    private void write(UsageWindow window, UsageLedger ledger) throws PlatformException {
        String key = UsageStoreKeys.open(window, zone, controller);
        long expectedRevision = revisions.getOrDefault(window, 0L);
        UsageLedger merged = ledger;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            OptionalLong revision = store.compareAndSwap(key, expectedRevision, UsageStoreKeys.write(merged));
            if (revision.isPresent()) {
                revisions.put(window, revision.getAsLong());
                return;
            }
            VersionedValue current = store.get(key);
            expectedRevision = current.revision();
            if (current.exists()) {
                merged = merged.merge(readLedger(current));
            }
        }
        throw new PlatformException(key + " was modified concurrently in all attempts", CallOutcome.NOT_ACCEPTED);
    }

    private static UsageLedger readLedger(VersionedValue value) throws PlatformException {
        try {
            return UsageStoreKeys.readLedger(value.value());
        } catch (IllegalArgumentException e) {
            throw new PlatformException(value.key() + ": " + e.getMessage(), e);
        }
    }

    /**
     * Writes the late marker of a window. An existing marker is written again, because its new revision prevents the
     * sealer from deleting it without having read the new usage.
     */
    private void markLate(UsageWindow window) throws PlatformException {
        String key = UsageStoreKeys.late(window);
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            if (store.compareAndSwap(key, store.get(key).revision(), new byte[] {'1'})
                    .isPresent()) {
                return;
            }
        }
        throw new PlatformException(key + " was modified concurrently in all attempts", CallOutcome.NOT_ACCEPTED);
    }
}
