package org.cranberrybend.entry.duty;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.json.JsonObject;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.DutyGrant;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.port.UsageReports;
import org.cranberrybend.entry.usage.SteadyWallClock;

/**
 * Reports the usage of each window to the platform. Confined to the event loop; works on one window at a time, oldest
 * first.
 *
 * <p>The totals of a window are sealed in the store by a write that fails if the key exists. Every report of the window
 * sends the sealed totals, so that no two reports differ, even after a lost response or a takeover of the lease.
 *
 * <p>A store that is restored from an older copy may have lost sealed totals whose report was sent. In a new epoch, the
 * windows that an earlier holder can have sealed are therefore reported only with totals that are still in the store. The
 * instance that held the lease until then knows more: how far it has come, and the totals that it has sealed last. That
 * a holder of the present epoch has applied this rule stands with the progress.
 */
public final class UsageDuty {
    /** Time after the end of a window at which its counts are first read; instances write them in this time. */
    private static final long FIRST_READ_MS = 1_500;

    private static final long READ_RETRY_MS = 1_200;
    /** Time before a report is due at which a window is sealed without the counts that are still missing. */
    private static final long SEAL_DEADLINE_MARGIN_MS = 3_000;

    private static final long REPORT_RETRY_MS = 700;
    /** Number of past windows that a new lease holder still reports. */
    private static final int MAX_OVERDUE_WINDOWS = 12;
    /** Number of windows whose sealed totals are retained, for a late report by another lease holder. */
    private static final int SEALED_WINDOWS_RETAINED = 12;
    /** How much earlier the clock of another instance may be, so that it has read the counts of a window earlier. */
    private static final long MAX_CLOCK_LEAD_MS = 1_000;

    private final KeyValueStore store;
    private final UsageReports reports;
    private final DutyLease lease;
    private final SteadyWallClock clock;
    private final long windowMs;
    private final long dueMs;
    private final Supplier<Set<String>> liveInstances;
    private final DecisionLog log;
    /** Last window that is reported or has no usage; negative until read from the store. */
    private long lastReportedWindow = -1;
    /** Last window that is reported only if its sealed totals are in the store; they may have been lost after a report. */
    private long lastMaybeSealedWindow = -1;
    /** Last reported window when the lease was lost because the store was restored; negative without that cause. */
    private long resumedWindow = -1;

    private long progressEpoch;
    private long lastSealedWindow = -1;
    private byte[] lastSealedTotals = new byte[0];
    private boolean pending;
    private long nextStepMs;
    private Set<String> countKeys = Set.of();

    /**
     * Creates the duty.
     *
     * @param dueMs time from the end of a window until its report is due
     * @param liveInstances instances from which counts are expected
     */
    public UsageDuty(
            KeyValueStore store,
            UsageReports reports,
            DutyLease lease,
            SteadyWallClock clock,
            long windowMs,
            long dueMs,
            Supplier<Set<String>> liveInstances,
            DecisionLog log) {
        this.store = store;
        this.reports = reports;
        this.lease = lease;
        this.clock = clock;
        this.windowMs = windowMs;
        this.dueMs = dueMs;
        this.liveInstances = liveInstances;
        this.log = log;
    }

    /** Performs the next step if one is due. */
    public void tick() {
        if (!lease.isHeld()) {
            if (lastReportedWindow >= 0) {
                resumedWindow = lease.wasHeldUntilThisEpoch() ? lastReportedWindow : -1;
                lastReportedWindow = -1;
            }
            return;
        }
        if (pending || clock.nowMs() < nextStepMs) {
            return;
        }
        if (lastReportedWindow < 0) {
            readProgress();
            return;
        }
        long window = lastReportedWindow + 1;
        if (clock.nowMs() >= (window + 1) * windowMs + FIRST_READ_MS) {
            readSealedTotals(window);
        }
    }

    private void retryLater(long delayMs) {
        pending = false;
        nextStepMs = clock.nowMs() + delayMs;
    }

    private void readProgress() {
        pending = true;
        store.get(FleetKeys.REPORTED)
                .thenCombine(store.list(FleetKeys.allCounts()), (item, counts) -> {
                    begin(item.map(UsageProgress::parse), counts);
                    pending = false;
                    return null;
                })
                .exceptionally(failure -> {
                    retryLater(READ_RETRY_MS);
                    return null;
                });
    }

    private void begin(Optional<UsageProgress> stored, StoreSnapshot counts) {
        long current = Math.floorDiv(clock.nowMs(), windowMs);
        long earliest = counts.items().stream()
                .mapToLong(each -> FleetKeys.windowOf(each.key()))
                .min()
                .orElse(current);
        UsageProgress progress = stored.orElse(new UsageProgress(earliest - 1, 0, -1));
        long epoch = StoreRevision.epochOf(counts.revision());
        if (progress.epoch() < epoch) {
            progress = progressInNewEpoch(progress, epoch);
            store.write(StoreWrite.put(FleetKeys.REPORTED, progress.encode()));
        }
        lastReportedWindow = Math.max(progress.window(), current - MAX_OVERDUE_WINDOWS);
        lastMaybeSealedWindow = progress.lastMaybeSealedWindow();
        progressEpoch = progress.epoch();
        deleteAll(counts.items().stream()
                .map(StoreItem::key)
                .filter(key -> FleetKeys.windowOf(key) <= lastReportedWindow)
                .collect(Collectors.toList()));
    }

    private UsageProgress progressInNewEpoch(UsageProgress stored, long epoch) {
        boolean resumed = lease.wasHeldUntilThisEpoch() && resumedWindow >= 0;
        UsageProgress progress = resumed
                ? new UsageProgress(resumedWindow, epoch, -1)
                : new UsageProgress(stored.window(), epoch, lastWindowSealedBefore());
        log.record(
                EventCode.STORE_RESTORED,
                FleetKeys.REPORTED,
                "last_reported_window",
                progress.window(),
                "last_maybe_sealed_window",
                progress.lastMaybeSealedWindow(),
                "resumed",
                resumed);
        return progress;
    }

    /** Returns the last window that a holder of an earlier epoch can have sealed; it has stopped by now or does so soon. */
    private long lastWindowSealedBefore() {
        long latestReadMs = clock.nowMs() + MAX_CLOCK_LEAD_MS + DutyLease.MAX_HELD_MS - FIRST_READ_MS;
        return Math.floorDiv(latestReadMs, windowMs) - 1;
    }

    private void deleteAll(List<String> keys) {
        for (int from = 0; from < keys.size(); from += StoreWrite.MAX_ENTRIES) {
            store.write(StoreWrite.delete(keys.subList(from, Math.min(keys.size(), from + StoreWrite.MAX_ENTRIES))));
        }
    }

    private void readSealedTotals(long window) {
        pending = true;
        if (window == lastSealedWindow) {
            // The store may have been restored since, and lack them.
            report(window, lastSealedTotals);
            return;
        }
        store.get(FleetKeys.sealed(window)).whenComplete((item, failure) -> {
            if (failure != null) {
                retryLater(READ_RETRY_MS);
            } else if (item.isPresent()) {
                report(window, item.get().value());
            } else if (window <= lastMaybeSealedWindow) {
                log.record(EventCode.USAGE_LATE, Long.toString(window), "cause", "its totals may be lost and reported");
                completeWindow(window);
            } else {
                readCounts(window);
            }
        });
    }

    private void readCounts(long window) {
        store.list(FleetKeys.countsPrefix(window)).whenComplete((snapshot, failure) -> {
            if (failure != null) {
                retryLater(READ_RETRY_MS);
                return;
            }
            Set<String> missing = new HashSet<>(liveInstances.get());
            Map<String, Map<String, Long>> countsByIncarnation = new TreeMap<>();
            Set<String> keys = new HashSet<>();
            for (StoreItem item : snapshot.items()) {
                keys.add(item.key());
                addCounts(item, countsByIncarnation, missing);
            }
            Map<String, Long> totals = new TreeMap<>();
            countsByIncarnation
                    .values()
                    .forEach(counts -> counts.forEach((account, count) -> totals.merge(account, count, Long::sum)));
            countKeys = keys;
            boolean sealDue = clock.nowMs() >= (window + 1) * windowMs + dueMs - SEAL_DEADLINE_MARGIN_MS;
            if (!missing.isEmpty() && !sealDue) {
                retryLater(READ_RETRY_MS);
            } else if (totals.isEmpty()) {
                completeWindow(window);
            } else {
                seal(window, totals, missing);
            }
        });
    }

    private void addCounts(StoreItem item, Map<String, Map<String, Long>> countsByIncarnation, Set<String> missing) {
        try {
            JsonObject value = Json.readObject(item.value());
            JsonObject counts = value.object("counts");
            Map<String, Long> merged = countsByIncarnation.computeIfAbsent(
                    FleetKeys.incarnationPrefix(item.key()), key -> new TreeMap<>());
            for (String account : counts.names()) {
                merged.merge(account, counts.integer(account), Math::max);
            }
            if (value.booleanValue("complete", false)) {
                missing.remove(FleetKeys.instanceOf(item.key()));
            }
        } catch (JsonFormatException e) {
            log.record(EventCode.USAGE_REPORT_FAILED, item.key(), "cause", e.getMessage());
        }
    }

    private void seal(long window, Map<String, Long> totals, Set<String> missing) {
        if (!lease.isHeld()) {
            pending = false;
            return;
        }
        byte[] sealedTotals = Json.write(totals);
        store.write(StoreWrite.putIf(FleetKeys.sealed(window), 0, sealedTotals, 0))
                .whenComplete((revision, failure) -> {
                    if (failure == null) {
                        lastSealedWindow = window;
                        lastSealedTotals = sealedTotals;
                        log.record(
                                EventCode.USAGE_WINDOW_SEALED,
                                Long.toString(window),
                                "accounts",
                                totals.size(),
                                "silent_instances",
                                missing.size());
                        report(window, sealedTotals);
                    } else {
                        boolean sealedBefore = StoreException.kindOf(failure) == StoreException.Kind.CONDITION_FAILED;
                        retryLater(sealedBefore ? 0 : READ_RETRY_MS);
                    }
                });
    }

    private void report(long window, byte[] sealedTotals) {
        Optional<DutyGrant> grant = lease.grant();
        if (grant.isEmpty()) {
            retryLater(REPORT_RETRY_MS / 4);
            return;
        }
        Map<String, Long> counts = new TreeMap<>();
        try {
            JsonObject json = Json.readObject(sealedTotals);
            for (String account : json.names()) {
                counts.put(account, json.integer(account));
            }
        } catch (JsonFormatException e) {
            log.record(EventCode.USAGE_REPORT_FAILED, Long.toString(window), "cause", e.getMessage());
            retryLater(READ_RETRY_MS);
            return;
        }
        reports.report(grant.get(), window, counts).whenComplete((done, failure) -> {
            if (failure == null) {
                log.record(
                        EventCode.USAGE_REPORTED,
                        Long.toString(window),
                        "fencing_number",
                        grant.get().fencingNumber(),
                        "requests",
                        counts.values().stream().mapToLong(Long::longValue).sum());
                completeWindow(window);
            } else {
                log.record(
                        EventCode.USAGE_REPORT_FAILED,
                        Long.toString(window),
                        "cause",
                        String.valueOf(failure.getMessage()));
                retryLater(REPORT_RETRY_MS);
            }
        });
    }

    private void completeWindow(long window) {
        pending = false;
        lastReportedWindow = window;
        List<String> deletes = new ArrayList<>(countKeys);
        deletes.add(FleetKeys.sealed(window - SEALED_WINDOWS_RETAINED));
        countKeys = Set.of();
        byte[] progress = new UsageProgress(window, progressEpoch, lastMaybeSealedWindow).encode();
        List<StoreWrite.Put> puts = List.of(new StoreWrite.Put(FleetKeys.REPORTED, progress, 0));
        int first = Math.min(deletes.size(), StoreWrite.MAX_ENTRIES - 1);
        store.write(new StoreWrite(Map.of(), puts, deletes.subList(0, first)));
        for (int from = first; from < deletes.size(); from += StoreWrite.MAX_ENTRIES) {
            int to = Math.min(deletes.size(), from + StoreWrite.MAX_ENTRIES);
            store.write(StoreWrite.delete(deletes.subList(from, to)));
        }
    }
}
