package org.cranberrybend.entry.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.usage.UsageCounter;

/**
 * Writes the counts of this process to the store: often enough that a killed instance loses little, and once more after
 * the end of a window, marked as complete. Confined to the event loop.
 *
 * <p>Counts only grow and are written whole. A write without an answer may be carried out seconds later, over a newer
 * one; the process then goes on under another key, and readers take the larger figure of both.
 */
public final class UsageFlusher {
    /** Time between writes within a window, in milliseconds; what a killed instance loses at most. */
    private static final long FLUSH_INTERVAL_MS = 1_500;
    /**
     * Writes within windows by all instances together. In a larger fleet each instance writes less often: it holds a
     * smaller part of the window, and each call is priced.
     */
    private static final double MAX_WRITES_PER_S = 6;
    /** Time after the end of a window at which a request that began in it is certainly counted. */
    private static final long WINDOW_SETTLE_MS = 300;

    private static final int KEPT_WINDOWS = 12;
    /** Time after a failed write before the next one; refused calls are priced too. */
    private static final long RETRY_PAUSE_MS = 1_000;

    private final Function<StoreWrite, CompletableFuture<Long>> writer;
    private final UsageCounter counter;
    private final String instance;
    private final long incarnation;
    private final IntSupplier instances;
    private final TimeSource timeSource;
    /** Number of requests written for each window that is not complete at the store yet. */
    private final Map<Long, Long> written = new HashMap<>();

    private long firstWindow = -1;
    private long completedWindow = -1;
    private long nextFlushMs;
    private long retryAtMs;
    private boolean pending;
    private int generation;

    /**
     * Creates a flusher for one run of one instance.
     *
     * @param writer writes to the store, or through another instance while the store does not answer this one
     * @param instances number of running instances
     */
    public UsageFlusher(
            Function<StoreWrite, CompletableFuture<Long>> writer,
            UsageCounter counter,
            String instance,
            long incarnation,
            IntSupplier instances,
            TimeSource timeSource) {
        this.writer = writer;
        this.counter = counter;
        this.instance = instance;
        this.incarnation = incarnation;
        this.instances = instances;
        this.timeSource = timeSource;
    }

    /** Writes what is due. */
    public void tick() {
        long settled = counter.windowBefore(WINDOW_SETTLE_MS);
        if (firstWindow < 0) {
            firstWindow = counter.window();
            completedWindow = firstWindow - 1;
        }
        long nowMs = timeSource.monotonicMs();
        boolean windowEnded = settled - 1 > completedWindow;
        if (pending || nowMs < retryAtMs || !windowEnded && nowMs < nextFlushMs) {
            return;
        }
        flush(settled - 1, nowMs);
    }

    private void flush(long lastComplete, long nowMs) {
        List<StoreWrite.Put> puts = new ArrayList<>();
        Map<Long, Long> totals = new HashMap<>();
        for (long window = Math.max(completedWindow + 1, lastComplete - KEPT_WINDOWS);
                window <= counter.window();
                window++) {
            Map<String, Long> counts = counter.counts(window);
            long total = counts.values().stream().mapToLong(Long::longValue).sum();
            boolean complete = window <= lastComplete;
            if (complete || total > written.getOrDefault(window, 0L)) {
                Map<String, Object> value = new LinkedHashMap<>();
                value.put("counts", counts);
                value.put("complete", complete);
                puts.add(new StoreWrite.Put(
                        FleetKeys.counts(window, instance, incarnation, generation), Json.write(value), 0));
                totals.put(window, total);
            }
        }
        nextFlushMs = nowMs + Math.max(FLUSH_INTERVAL_MS, (long) (1_000 * instances.getAsInt() / MAX_WRITES_PER_S));
        if (puts.isEmpty()) {
            return;
        }
        pending = true;
        writer.apply(new StoreWrite(Map.of(), puts, List.of())).whenComplete((revision, failure) -> {
            pending = false;
            if (failure != null) {
                retryAtMs = timeSource.monotonicMs() + RETRY_PAUSE_MS;
            }
            if (failure == null) {
                written.putAll(totals);
                completedWindow = Math.max(completedWindow, lastComplete);
                written.keySet().removeIf(window -> window <= completedWindow);
                counter.forgetBefore(completedWindow - KEPT_WINDOWS);
            } else if (StoreException.kindOf(failure) == StoreException.Kind.UNKNOWN) {
                generation++;
                written.clear();
            }
        });
    }

    /** Writes the counts of the present window, because the process stops. */
    public void flushNow() {
        flush(counter.window(), timeSource.monotonicMs());
    }
}
