package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.testing.ForwardingStore;
import org.cranberrybend.entry.testing.ManualScheduler;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The end of a usage window in a large fleet: all instances of a zone write their counts at the same time. */
class CountsGathererTest {
    private final MemoryStore store = new MemoryStore(new TestClock());
    private final List<StoreWrite> writes = new ArrayList<>();
    private final ManualScheduler loop = new ManualScheduler();

    private final CountsGatherer gatherer = new CountsGatherer(
            new ForwardingStore(store) {
                @Override
                public CompletableFuture<Long> write(StoreWrite write) {
                    writes.add(write);
                    return super.write(write);
                }
            },
            loop);

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    private List<CompletableFuture<Long>> addAll(int instances, int keysEach) {
        return addAll(instances, keysEach, 1);
    }

    private List<CompletableFuture<Long>> addAll(int instances, int keysEach, int valueBytes) {
        List<CompletableFuture<Long>> results = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            List<StoreWrite.Put> puts = new ArrayList<>();
            for (int k = 0; k < keysEach; k++) {
                puts.add(new StoreWrite.Put("counts/" + i + "/" + k, new byte[valueBytes], 0));
            }
            results.add(gatherer.add(puts));
        }
        loop.runAll();
        return results;
    }

    // Guards against calls of the store that grow with the number of instances, and against lost counts.
    @ParameterizedTest
    @CsvSource({"1, 1, 1", "19, 1, 1", "19, 2, 2", "32, 1, 1", "33, 1, 2", "70, 1, 3", "3, 20, 3"})
    void countsOfManyInstancesNeedFewWrites(int instances, int keysEach, int expectedWrites) {
        List<CompletableFuture<Long>> results = addAll(instances, keysEach);
        assertThat(writes).hasSize(expectedWrites);
        assertThat(store.keys("counts/")).hasSize(instances * keysEach);
        results.forEach(each -> assertThat(each.isDone()).isTrue());
    }

    // Guards against a write that is bounded by the number of its entries: with the counts of 13,000 accounts, 32
    // of them are 8 MB, more than a message of the fleet or of the store may have.
    @ParameterizedTest
    @CsvSource({"3, 260000, 1", "4, 260000, 1", "5, 260000, 2", "32, 260000, 8", "3, 1048576, 3", "2, 2000000, 2"})
    void writeIsBoundedBySize(int instances, int valueBytes, int expectedWrites) {
        List<CompletableFuture<Long>> results = addAll(instances, 1, valueBytes);
        assertThat(writes).hasSize(expectedWrites);
        assertThat(store.keys("counts/")).hasSize(instances);
        results.forEach(each -> assertThat(each.isDone()).isTrue());
    }

    // Guards against an instance that takes its counts for written after the shared write failed.
    @ParameterizedTest
    @ValueSource(ints = {1, 40})
    void failureReachesEachInstance(int instances) {
        store.setDown(true);
        addAll(instances, 1)
                .forEach(each -> assertThat(each.isCompletedExceptionally()).isTrue());
    }
}
