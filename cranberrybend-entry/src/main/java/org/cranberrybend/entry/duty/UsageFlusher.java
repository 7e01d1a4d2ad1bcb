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
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.usage.UsageCounter;

/**
 * Writes the usage counts of this process to the store: periodically, so that a killed instance loses few of them, and
 * once after the end of a window, marked as complete. Confined to the event loop.
 *
 * <p>Each write contains all counts of the window, and counts only grow. A write whose outcome is unknown may be
 * executed seconds later and overwrite a newer one; the process then continues under another key, and readers take the
 * larger count of both.
 *
 * <p>A store that is restored from an older copy lacks the latest counts, so those of the last windows are written again.
 */
public final class UsageFlusher {
    /** Time between writes within a window; bounds the counts that a killed instance loses. */
    private static final long FLUSH_INTERVAL_MS = 1_500;
    /**
     * Limit of the write rate of all instances together within a window. In a larger fleet each instance writes less
     * often: it counts a smaller part of the window, and each call is billed.
     */
    private static final double MAX_WRITES_PER_S = 6;
    /** Time after the end of a window after which all requests that started in it are counted. */
    private static final long WINDOW_SETTLE_MS = 300;

    private static final int RETAINED_WINDOWS = 12;
    /** Windows before the current one that are written again after a restoration: those that may not be reported yet. */
    private static final int REWRITTEN_WINDOWS = 3;
    /** Time between a failed write and the next one; failed calls are billed too. */
    private static final long RETRY_BACKOFF_MS = 1_000;

    private final Function<StoreWrite, CompletableFuture<Long>> writer;
    private final Function<StoreWrite, CompletableFuture<Long>> lastWriter;
    private final UsageCounter counter;
    private final String instance;
    private final long incarnation;
    private final IntSupplier instances;
    private final TimeSource timeSource;
    /** Number of requests last written for each window whose complete counts are not in the store yet. */
    private final Map<Long, Long> writtenRequests = new HashMap<>();

    private long firstWindow = -1;
    private long lastCompleteWindow = -1;
    private long nextFlushMs;
    private long retryAtMs;
    private boolean pending;
    private int generation;
    private int restorations;

    /**
     * Creates a flusher for one incarnation of an instance.
     *
     * @param writer writes to the store, possibly through another instance
     * @param lastWriter writes to the store without delay, for the counts of a process that stops
     * @param instances number of running instances
     * @param epoch epoch of the store to which the counts are written
     */
    public UsageFlusher(
            Function<StoreWrite, CompletableFuture<Long>> writer,
            Function<StoreWrite, CompletableFuture<Long>> lastWriter,
            UsageCounter counter,
            String instance,
            long incarnation,
            IntSupplier instances,
            StoreEpoch epoch,
            TimeSource timeSource) {
        this.writer = writer;
        this.lastWriter = lastWriter;
        this.counter = counter;
        this.instance = instance;
        this.incarnation = incarnation;
        this.instances = instances;
        this.timeSource = timeSource;
        epoch.onRestored(this::writeAgain);
    }

    private void writeAgain() {
        if (firstWindow >= 0) {
            long firstRewritten = Math.max(firstWindow, counter.currentWindow() - REWRITTEN_WINDOWS);
            lastCompleteWindow = Math.min(lastCompleteWindow, firstRewritten - 1);
            restorations++;
            writtenRequests.clear();
            nextFlushMs = 0;
        }
    }

    /** Writes the counts that are due. */
    public void tick() {
        long settled = counter.windowBefore(WINDOW_SETTLE_MS);
        if (firstWindow < 0) {
            firstWindow = counter.currentWindow();
            lastCompleteWindow = firstWindow - 1;
        }
        long nowMs = timeSource.monotonicMs();
        boolean windowEnded = settled - 1 > lastCompleteWindow;
        if (pending || nowMs < retryAtMs || !windowEnded && nowMs < nextFlushMs) {
            return;
        }
        flush(settled - 1, nowMs, writer);
    }

    /** Writes the counts that are not in the store yet; completes when the write has succeeded or failed. */
    private CompletableFuture<Void> flush(
            long lastComplete, long nowMs, Function<StoreWrite, CompletableFuture<Long>> currentWriter) {
        List<StoreWrite.Put> puts = new ArrayList<>();
        Map<Long, Long> totals = new HashMap<>();
        for (long window = Math.max(lastCompleteWindow + 1, lastComplete - RETAINED_WINDOWS);
                window <= counter.currentWindow();
                window++) {
            Map<String, Long> counts = counter.counts(window);
            long total = counts.values().stream().mapToLong(Long::longValue).sum();
            boolean complete = window <= lastComplete;
            if (complete || total > writtenRequests.getOrDefault(window, 0L)) {
                Map<String, Object> value = new LinkedHashMap<>();
                value.put("counts", counts);
                value.put("complete", complete);
                puts.add(new StoreWrite.Put(
                        FleetKeys.counts(window, instance, incarnation, generation), Json.write(value), 0));
                totals.put(window, total);
            }
        }
        long intervalMs = Math.max(FLUSH_INTERVAL_MS, (long) (1_000 * instances.getAsInt() / MAX_WRITES_PER_S));
        // Multiples of the interval since the start of the window: all instances of a zone then write at the same time,
        // and their counts are gathered into one call.
        nextFlushMs = nowMs + intervalMs - counter.elapsedInWindowMs() % intervalMs;
        if (puts.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        pending = true;
        int restorationsBefore = restorations;
        CompletableFuture<Long> written = currentWriter.apply(new StoreWrite(Map.of(), puts, List.of()));
        return written.handle((revision, failure) -> {
            pending = false;
            if (failure != null) {
                retryAtMs = timeSource.monotonicMs() + RETRY_BACKOFF_MS;
            }
            if (failure == null && restorations == restorationsBefore) {
                writtenRequests.putAll(totals);
                lastCompleteWindow = Math.max(lastCompleteWindow, lastComplete);
                writtenRequests.keySet().removeIf(window -> window <= lastCompleteWindow);
                counter.removeBefore(lastCompleteWindow - RETAINED_WINDOWS);
            } else if (failure != null && StoreException.kindOf(failure) == StoreException.Kind.UNKNOWN) {
                generation++;
                writtenRequests.clear();
            }
            return null;
        });
    }

    /** Writes all counts, those of the current window included, because the process stops. */
    public CompletableFuture<Void> flushNow() {
        return flush(counter.currentWindow(), timeSource.monotonicMs(), lastWriter);
    }
}
