package org.cranberrybend.entry.quarantine;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.duty.FleetKeys;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreWrite;

/**
 * Keeps the crash records in the store when quarantines change, so that a fleet whose instances all end at once need
 * not lose further engines to the same prompts. Only the holder of the duty lease writes; each instance reads once after
 * its start. A lost or outdated write costs knowledge only, so it is neither conditional nor repeated. Confined to the
 * event loop.
 */
public final class QuarantineArchive {
    private static final long READ_RETRY_MS = 2_000;

    private final KeyValueStore store;
    private final QuarantineService quarantine;
    private final BooleanSupplier mayWrite;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private boolean read;
    private boolean pending;
    private long nextReadMs = Long.MIN_VALUE;
    private long writtenChangeMs;
    /** Whether the store may have lost the records, because it was restored from an older copy. */
    private boolean restored;

    /**
     * Creates the archive.
     *
     * @param mayWrite whether this instance holds the duty lease
     */
    public QuarantineArchive(
            KeyValueStore store,
            QuarantineService quarantine,
            BooleanSupplier mayWrite,
            TimeSource timeSource,
            DecisionLog log) {
        this.store = store;
        this.quarantine = quarantine;
        this.mayWrite = mayWrite;
        this.timeSource = timeSource;
        this.log = log;
        this.writtenChangeMs = quarantine.quarantinesChangedMs();
        store.epoch().onRestored(() -> restored = true);
    }

    /** Reads the records after the start, and writes them if the quarantines have changed. */
    public void tick() {
        long nowMs = timeSource.monotonicMs();
        if (pending) {
            return;
        }
        if (!read && nowMs >= nextReadMs) {
            nextReadMs = nowMs + READ_RETRY_MS;
            pending = true;
            store.get(FleetKeys.CRASHES).whenComplete(this::onRead);
        } else if (read && isWriteDue() && mayWrite.getAsBoolean()) {
            write();
        }
    }

    private boolean isWriteDue() {
        return writtenChangeMs != quarantine.quarantinesChangedMs() || restored && quarantine.quarantineCount() > 0;
    }

    private void onRead(Optional<StoreItem> item, Throwable failure) {
        pending = false;
        if (failure != null) {
            return;
        }
        read = true;
        item.ifPresent(stored -> merge(stored.value()));
    }

    private void merge(byte[] stored) {
        try {
            quarantine.merge(
                    CrashFormat.decodeStored(stored, timeSource.monotonicMs(), timeSource.wallMs()), "the store");
        } catch (JsonFormatException e) {
            log.record(EventCode.UPSTREAM_UNREADABLE, FleetKeys.CRASHES, "cause", e.getMessage());
        }
    }

    private void write() {
        pending = true;
        restored = false;
        writtenChangeMs = quarantine.quarantinesChangedMs();
        byte[] value = CrashFormat.encodeStored(quarantine.records(), timeSource.monotonicMs(), timeSource.wallMs());
        store.write(StoreWrite.put(FleetKeys.CRASHES, value)).whenComplete((revision, failure) -> pending = false);
    }
}
