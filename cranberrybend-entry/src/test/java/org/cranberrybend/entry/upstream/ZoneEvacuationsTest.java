package org.cranberrybend.entry.upstream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ZoneEvacuationsTest {
    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
    private static final int REVISIONS = 60;
    private static final int STEPS = 400;

    // Guards against older knowledge that starts or ends an evacuation, and against changes of one revision of which
    // only the first is applied. The oracle is the history of the store: an instance must know its state at the latest
    // revision that it has received, whatever the order of snapshots, changes and states of peers.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void stateIsThatOfTheLatestRevisionReceived(long seed) {
        System.out.println("seed " + seed);
        Random random = new Random(seed);
        List<Set<String>> history = new ArrayList<>(List.of(Set.of()));
        for (int i = 0; i < REVISIONS; i++) {
            Set<String> next = new HashSet<>();
            ZONES.stream().filter(zone -> random.nextInt(3) == 0).forEach(next::add);
            history.add(next);
        }
        TestClock clock = new TestClock();
        ZoneEvacuations evacuations =
                new ZoneEvacuations(new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream()));
        Set<String> reported = new HashSet<>();
        evacuations.addListener(new ZoneEvacuations.Listener() {
            @Override
            public void onEvacuated(String zone) {
                assertThat(reported.add(zone)).isTrue();
            }

            @Override
            public void onReturned(String zone, long revision) {
                assertThat(reported.remove(zone)).isTrue();
            }
        });
        int latest = -1;
        int watched = 0;
        for (int step = 0; step < STEPS; step++) {
            int known = Math.min(REVISIONS, 1 + step * REVISIONS / STEPS);
            int received = random.nextInt(known + 1);
            if (random.nextInt(4) == 0 || latest < 0) {
                evacuations.offer("peer", new ZoneEvacuations.State(history.get(received), received));
                watched = random.nextBoolean() ? received : Math.min(watched, latest < 0 ? received : watched);
            } else {
                // A watch continues where its last response ended, which may be before the state of a peer.
                received = Math.max(watched, received);
                for (int revision = watched + 1; revision <= received; revision++) {
                    applyChanges(evacuations, history.get(revision - 1), history.get(revision), revision);
                }
                evacuations.recordProgress(received);
                watched = received;
            }
            latest = Math.max(latest, received);
            assertWithMessage("step %s of seed %s", step, seed)
                    .that(evacuations.state())
                    .isEqualTo(new ZoneEvacuations.State(history.get(latest), latest));
            assertThat(reported).isEqualTo(history.get(latest));
        }
    }

    private static void applyChanges(
            ZoneEvacuations evacuations, Set<String> before, Set<String> after, long revision) {
        for (String zone : ZONES) {
            if (before.contains(zone) != after.contains(zone)) {
                evacuations.apply("store", zone, after.contains(zone), revision);
            }
        }
    }
}
