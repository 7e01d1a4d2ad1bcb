package org.cranberrybend.controller.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.cranberrybend.controller.schedule.RepeatedTask;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.core.usage.UsageLedger;
import org.cranberrybend.core.usage.UsageWindow;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/**
 * Writes the collected usage of this controller to {@code usage/open}.
 *
 * <p>A record may hold usage from before a restart of this controller, so a write always merges what is there. A write
 * that may come after the window was sealed also marks the window as late, after the record, so that the sealer looks
 * at it again.
 *
 * <p>Used by one thread.
 */
public final class OpenUsageWriter implements RepeatedTask.Step {
    // Clocks of the instances may differ; a window is marked as late somewhat before it can be sealed.
    private static final long CLOCK_SKEW_MS = 10_000;
    private static final int WINDOWS_IN_MEMORY = 10;
    private static final int ATTEMPTS = 4;

    private final UsageCollector collector;
    private final KeyValueStore store;
    private final String zone;
    private final String controller;
    private final TimeSource time;
    private final long sealDelayMs;
    private final long periodMs;
    private final Map<UsageWindow, Long> revisions = new HashMap<>();

    /** Creates the writer of a controller; {@code sealDelayMs} is the time from a window's end to its sealing. */
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
            for (UsageCollector.Unwritten each : collector.unwritten()) {
                write(each.window(), each.ledger());
                if (time.wallMs() >= each.window().endMs() + sealDelayMs - CLOCK_SKEW_MS) {
                    markLate(each.window());
                }
                collector.written(each.window(), each.version());
            }
            collector
                    .forgetBefore(UsageWindow.containing(time.wallMs()).minusWindows(WINDOWS_IN_MEMORY))
                    .forEach(revisions::remove);
        } catch (PlatformException e) {
            // What was not written stays unwritten; the next run tries again.
            return periodMs;
        }
        return periodMs;
    }

    private void write(UsageWindow window, UsageLedger ledger) throws PlatformException {
        String key = UsageKeys.open(window, zone, controller);
        long expectedRevision = revisions.getOrDefault(window, 0L);
        UsageLedger merged = ledger;
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            OptionalLong revision = store.compareAndSwap(key, expectedRevision, UsageKeys.write(merged));
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
        throw new PlatformException(key + " is being written by others", CallOutcome.NOT_ACCEPTED);
    }

    private static UsageLedger readLedger(VersionedValue value) throws PlatformException {
        try {
            return UsageKeys.readLedger(value.value());
        } catch (IllegalArgumentException e) {
            throw new PlatformException(value.key() + ": " + e.getMessage(), e);
        }
    }

    /** Writes the mark even if it exists: its new revision keeps the sealer from deleting it unseen. */
    private void markLate(UsageWindow window) throws PlatformException {
        String key = UsageKeys.late(window);
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            if (store.compareAndSwap(key, store.get(key).revision(), new byte[] {'1'})
                    .isPresent()) {
                return;
            }
        }
        throw new PlatformException(key + " is being written by others", CallOutcome.NOT_ACCEPTED);
    }
}
