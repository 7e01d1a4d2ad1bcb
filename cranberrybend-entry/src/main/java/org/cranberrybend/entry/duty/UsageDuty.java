package org.cranberrybend.entry.duty;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.json.JsonObject;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.DutyStamp;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.port.UsageReports;
import org.cranberrybend.entry.usage.TrueClock;

/**
 * Reports the usage of each window once. Confined to the event loop; works on one window at a time, oldest first.
 *
 * <p>A window's figures are sealed in the store by a write that only creates. Whoever reports the window afterwards sends
 * the sealed figures, so that no two reports differ, also after a lost reply or a change of the holder.
 */
public final class UsageDuty {
    /** Time after the end of a window at which its counts are first read. */
    private static final long FIRST_READ_MS = 1_500;

    private static final long READ_RETRY_MS = 1_200;
    /** Time before a report is due at which a window is sealed without the counts of silent instances. */
    private static final long SEAL_MARGIN_MS = 3_000;

    private static final long REPORT_RETRY_MS = 700;
    /** Windows for which a missed report is still made after a change of the holder. */
    private static final int MAX_WINDOWS_BACK = 12;
    /** Windows for which sealed figures are kept, so that a late holder finds them. */
    private static final int KEPT_SEALS = 12;

    private final KeyValueStore store;
    private final UsageReports reports;
    private final DutyLease lease;
    private final TrueClock clock;
    private final long windowMs;
    private final long dueMs;
    private final Supplier<Set<String>> liveInstances;
    private final DecisionLog log;
    /** Last window that needs no report any more; negative until it was read from the store. */
    private long reported = -1;

    private boolean pending;
    private long notBeforeMs;
    private Set<String> countKeys = Set.of();

    /**
     * Creates the duty.
     *
     * @param dueMs time after the end of a window at which its report is due
     * @param liveInstances instances from which counts are expected
     */
    public UsageDuty(
            KeyValueStore store,
            UsageReports reports,
            DutyLease lease,
            TrueClock clock,
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

    /** Does the next step if one is due. */
    public void tick() {
        if (!lease.isHeld()) {
            reported = -1;
            return;
        }
        if (pending || clock.nowMs() < notBeforeMs) {
            return;
        }
        if (reported < 0) {
            readProgress();
            return;
        }
        long window = reported + 1;
        if (clock.nowMs() >= (window + 1) * windowMs + FIRST_READ_MS) {
            readSeal(window);
        }
    }

    private void retryLater(long delayMs) {
        pending = false;
        notBeforeMs = clock.nowMs() + delayMs;
    }

    private void readProgress() {
        pending = true;
        store.get(FleetKeys.REPORTED)
                .thenCombine(store.list(FleetKeys.allCounts()), (item, counts) -> {
                    long current = Math.floorDiv(clock.nowMs(), windowMs);
                    long earliest = counts.items().stream()
                            .mapToLong(each -> FleetKeys.windowOfCounts(each.key()))
                            .min()
                            .orElse(current);
                    long last = item.map(UsageDuty::number).orElse(earliest - 1);
                    reported = Math.max(last, current - MAX_WINDOWS_BACK);
                    deleteOld(counts.items());
                    pending = false;
                    return null;
                })
                .exceptionally(failure -> {
                    retryLater(READ_RETRY_MS);
                    return null;
                });
    }

    private static long number(StoreItem item) {
        try {
            return Json.readObject(item.value()).integer("window");
        } catch (JsonFormatException e) {
            return -1;
        }
    }

    /** Deletes counts that were written after their window had been reported. */
    private void deleteOld(List<StoreItem> counts) {
        List<String> old = new ArrayList<>();
        for (StoreItem item : counts) {
            if (FleetKeys.windowOfCounts(item.key()) <= reported && old.size() < StoreWrite.MAX_ENTRIES) {
                old.add(item.key());
            }
        }
        if (!old.isEmpty()) {
            store.write(StoreWrite.delete(old));
        }
    }

    private void readSeal(long window) {
        pending = true;
        store.get(FleetKeys.sealed(window)).whenComplete((item, failure) -> {
            if (failure != null) {
                retryLater(READ_RETRY_MS);
            } else if (item.isPresent()) {
                report(window, item.get().value());
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
            Map<String, Map<String, Long>> countsByRun = new TreeMap<>();
            Set<String> keys = new HashSet<>();
            for (StoreItem item : snapshot.items()) {
                keys.add(item.key());
                add(item, countsByRun, missing);
            }
            Map<String, Long> totals = new TreeMap<>();
            countsByRun
                    .values()
                    .forEach(counts -> counts.forEach((account, count) -> totals.merge(account, count, Long::sum)));
            countKeys = keys;
            boolean lastChance = clock.nowMs() >= (window + 1) * windowMs + dueMs - SEAL_MARGIN_MS;
            if (!missing.isEmpty() && !lastChance) {
                retryLater(READ_RETRY_MS);
            } else if (totals.isEmpty()) {
                done(window);
            } else {
                seal(window, totals, missing);
            }
        });
    }

    private void add(StoreItem item, Map<String, Map<String, Long>> countsByRun, Set<String> missing) {
        try {
            JsonObject value = Json.readObject(item.value());
            JsonObject counts = value.object("counts");
            Map<String, Long> ofRun =
                    countsByRun.computeIfAbsent(FleetKeys.runOfCounts(item.key()), run -> new TreeMap<>());
            for (String account : counts.names()) {
                ofRun.merge(account, counts.integer(account), Math::max);
            }
            if (value.booleanValue("complete", false)) {
                missing.remove(FleetKeys.instanceOfCounts(item.key()));
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
        byte[] figures = Json.write(totals);
        store.write(StoreWrite.putIf(FleetKeys.sealed(window), 0, figures, 0)).whenComplete((revision, failure) -> {
            if (failure == null) {
                log.record(
                        EventCode.USAGE_WINDOW_SEALED,
                        Long.toString(window),
                        "accounts",
                        totals.size(),
                        "silent_instances",
                        missing.size());
                report(window, figures);
            } else {
                boolean sealedBefore = StoreException.kindOf(failure) == StoreException.Kind.CONDITION_FAILED;
                retryLater(sealedBefore ? 0 : READ_RETRY_MS);
            }
        });
    }

    private void report(long window, byte[] figures) {
        Optional<DutyStamp> stamp = lease.stamp();
        if (stamp.isEmpty()) {
            retryLater(REPORT_RETRY_MS / 4);
            return;
        }
        Map<String, Long> counts = new TreeMap<>();
        try {
            JsonObject json = Json.readObject(figures);
            for (String account : json.names()) {
                counts.put(account, json.integer(account));
            }
        } catch (JsonFormatException e) {
            log.record(EventCode.USAGE_REPORT_FAILED, Long.toString(window), "cause", e.getMessage());
            retryLater(READ_RETRY_MS);
            return;
        }
        reports.report(stamp.get(), window, counts).whenComplete((done, failure) -> {
            if (failure == null) {
                log.record(
                        EventCode.USAGE_REPORTED,
                        Long.toString(window),
                        "fencing_number",
                        stamp.get().fencingNumber(),
                        "requests",
                        counts.values().stream().mapToLong(Long::longValue).sum());
                done(window);
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

    private void done(long window) {
        pending = false;
        reported = window;
        List<String> deletes = new ArrayList<>(countKeys);
        deletes.add(FleetKeys.sealed(window - KEPT_SEALS));
        countKeys = Set.of();
        byte[] progress = Json.write(Map.of("window", window));
        List<StoreWrite.Put> puts = List.of(new StoreWrite.Put(FleetKeys.REPORTED, progress, 0));
        int first = Math.min(deletes.size(), StoreWrite.MAX_ENTRIES - 1);
        store.write(new StoreWrite(Map.of(), puts, deletes.subList(0, first)));
        for (int from = first; from < deletes.size(); from += StoreWrite.MAX_ENTRIES) {
            int to = Math.min(deletes.size(), from + StoreWrite.MAX_ENTRIES);
            store.write(StoreWrite.delete(deletes.subList(from, to)));
        }
    }
}
