package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreItem;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What a leader keeps for its followers, and what a follower makes of it. */
class ChangeLogTest {
    /** The largest value of the store, twice: the newest changes are of use, and the heap of an instance is 112 MB. */
    private static final int MAX_KEPT_BYTES = 2 * 1024 * 1024;

    private final ChangeLog log = new ChangeLog();

    private static StoreChange put(String key, int valueBytes, long revision) {
        return new StoreChange(
                key, revision, Optional.of(new StoreItem(key, new byte[valueBytes], revision, revision, 0)));
    }

    private static long valueBytes(StoreChanges changes) {
        return changes.changes().stream()
                .flatMap(change -> change.item().stream())
                .mapToLong(item -> item.value().length)
                .sum();
    }

    // Guards against a log that is bounded by the number of its changes: with some 245 versions of a configuration of
    // 438 KB, or with as many entries of any other keys, the instance ended by OutOfMemoryError.
    @ParameterizedTest
    @CsvSource({"1, 438000, 300", "300, 438000, 300", "300, 1048576, 300", "3000, 2000, 3000", "5, 438000, 300"})
    void valuesOfTheLogAreBoundedBySize(int keys, int valueBytes, int changes) {
        for (int i = 1; i <= changes; i++) {
            log.append(i - 1, i, List.of(put("key-" + i % keys, valueBytes, i)));
        }
        long keptBytes = 0;
        for (int after = 0; after <= changes; after++) {
            keptBytes = Math.max(
                    keptBytes, log.since(after).map(ChangeLogTest::valueBytes).orElse(0L));
        }
        assertThat(keptBytes).isAtMost(MAX_KEPT_BYTES);
        assertThat(log.since(changes - 1).map(ChangeLogTest::valueBytes)).hasValue((long) valueBytes);
    }

    // Guards against a follower that reads the store itself, or receives each version, although it only lacks the
    // newest version of one large value.
    @ParameterizedTest
    @ValueSource(longs = {0, 1, 150, 299})
    void followerReceivesOnlyTheNewestVersionOfAValue(long afterRevision) {
        for (int i = 1; i <= 300; i++) {
            log.append(i - 1, i, List.of(put("configuration", 438_000, i)));
        }
        List<StoreChange> received = log.since(afterRevision).orElseThrow().changes();
        assertThat(received.stream().mapToLong(StoreChange::revision).boxed().toList())
                .containsExactly(300L);
    }

    // Guards against a follower that ends up with another state than the store, whatever was evicted or replaced.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void changesSinceAnyRevisionLeadToTheStateOfTheStore(long seed) {
        Random random = new Random(seed);
        List<Map<String, Long>> states = new ArrayList<>();
        states.add(new TreeMap<>());
        for (int revision = 1; revision <= 400; revision++) {
            Map<String, Long> state = new TreeMap<>(states.get(revision - 1));
            String key = "k" + random.nextInt(6);
            boolean deleted = random.nextInt(3) == 0;
            StoreChange change = deleted
                    ? new StoreChange(key, revision, Optional.empty())
                    : put(key, random.nextInt(700_000), revision);
            if (deleted) {
                state.remove(key);
            } else {
                state.put(key, (long) revision);
            }
            states.add(state);
            log.append(revision - 1, revision, List.of(change));
            checkFollowers(states, revision, seed);
        }
    }

    private void checkFollowers(List<Map<String, Long>> states, int revision, long seed) {
        for (int after = Math.max(0, revision - 40); after <= revision; after++) {
            Optional<StoreChanges> changes = log.since(after);
            if (changes.isEmpty()) {
                continue;
            }
            Map<String, Long> state = new TreeMap<>(states.get(after));
            for (StoreChange change : changes.get().changes()) {
                if (change.item().isPresent()) {
                    state.put(change.key(), change.revision());
                } else {
                    state.remove(change.key());
                }
            }
            assertWithMessage("seed %s, follower at %s of %s", seed, after, revision)
                    .that(state)
                    .isEqualTo(states.get(revision));
        }
    }
}
