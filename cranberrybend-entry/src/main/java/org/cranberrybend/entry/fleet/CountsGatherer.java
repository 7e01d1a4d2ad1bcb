package org.cranberrybend.entry.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreWrite;

/**
 * Gathers the usage counts of several instances for a short time and writes them to the store in one call. All instances
 * write their counts at the end of a usage window, so that without this the calls would grow with the fleet. Confined
 * to the event loop.
 */
final class CountsGatherer {
    static final long GATHER_MS = 400;

    /** Values of one write, unless a single contribution is larger; the counts of all accounts at an instance fit. */
    static final long MAX_WRITE_BYTES = 1024 * 1024;

    private record Contribution(List<StoreWrite.Put> puts, CompletableFuture<Long> written) {}

    private final KeyValueStore store;
    private final ScheduledExecutorService loop;
    /** Contributions not written yet; together they fit into one write. */
    private List<Contribution> gathered = new ArrayList<>();

    private int entries;
    private long bytes;

    CountsGatherer(KeyValueStore store, ScheduledExecutorService loop) {
        this.store = store;
        this.loop = loop;
    }

    /**
     * Adds the counts of one instance to the next write.
     *
     * @return completes with the revision of the write, or with its failure
     */
    CompletableFuture<Long> add(List<StoreWrite.Put> puts) {
        long addedBytes = puts.stream().mapToLong(put -> put.value().length).sum();
        if (entries + puts.size() > StoreWrite.MAX_ENTRIES || bytes + addedBytes > MAX_WRITE_BYTES) {
            write(gathered);
        }
        if (gathered.isEmpty()) {
            List<Contribution> batch = gathered;
            loop.schedule(() -> write(batch), GATHER_MS, TimeUnit.MILLISECONDS);
        }
        Contribution contribution = new Contribution(puts, new CompletableFuture<>());
        gathered.add(contribution);
        entries += puts.size();
        bytes += addedBytes;
        return contribution.written;
    }

    /** Writes a batch unless that was done before, because it was full. */
    private void write(List<Contribution> batch) {
        if (batch != gathered || batch.isEmpty()) {
            return;
        }
        gathered = new ArrayList<>();
        entries = 0;
        bytes = 0;
        List<StoreWrite.Put> puts = new ArrayList<>();
        batch.forEach(each -> puts.addAll(each.puts));
        store.write(new StoreWrite(Map.of(), puts, List.of())).whenComplete((revision, failure) -> {
            for (Contribution each : batch) {
                if (failure == null) {
                    each.written.complete(revision);
                } else {
                    each.written.completeExceptionally(failure);
                }
            }
        });
    }
}
