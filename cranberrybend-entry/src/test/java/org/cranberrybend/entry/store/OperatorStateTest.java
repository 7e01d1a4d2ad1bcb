package org.cranberrybend.entry.store;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreKeys;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.testing.TestClock;
import org.cranberrybend.entry.upstream.ZoneEvacuations;
import org.junit.jupiter.api.Test;

/** Evacuations when the store comes back from an older copy. */
class OperatorStateTest {
    private static final StoreKeys KEYS =
            new StoreKeys("operator/", "operator/routing", "operator/evacuated/", "upstreams/");
    private static final long REWRITE_MS = 5_000;

    private final TestClock clock = new TestClock();
    private final DecisionLog log = new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream());
    private final ZoneEvacuations evacuations = new ZoneEvacuations(log);
    private final OperatorState state =
            new OperatorState(KEYS, new ConfigurationHolder((name, value) -> null, log), evacuations, clock, log);

    private static StoreItem evacuation(String zone, long revision) {
        return new StoreItem(KEYS.evacuationPrefix() + zone, new byte[0], revision, revision, 0);
    }

    private void read(long revision, String... zones) {
        List<StoreItem> items = new ArrayList<>();
        for (String zone : zones) {
            items.add(evacuation(zone, revision));
        }
        state.onSnapshot(new StoreSnapshot(items, revision), 0);
        state.onProgress(revision);
    }

    // Guards against requests to a zone whose evacuation the copy lacks, before the operator has written it again.
    @Test
    void evacuationIsInForceUntilItIsWrittenAgain() {
        read(3, "zone-a");
        long restored = StoreRevision.of(1, 2);
        read(restored);
        assertThat(evacuations.isEvacuated("zone-a")).isTrue();
        state.onChange(new StoreChange(
                KEYS.evacuationPrefix() + "zone-a", restored + 1, Optional.of(evacuation("zone-a", restored + 1))));
        state.onProgress(restored + 1);
        clock.advance(REWRITE_MS);
        state.onProgress(restored + 1);
        assertThat(evacuations.isEvacuated("zone-a")).isTrue();
    }

    // Guards against a zone that stays evacuated for ever because the store has lost the key and its deletion.
    @Test
    void evacuationThatIsNotWrittenAgainEnds() {
        read(3, "zone-a");
        long restored = StoreRevision.of(1, 2);
        read(restored);
        clock.advance(REWRITE_MS);
        state.onProgress(restored);
        assertThat(evacuations.isEvacuated("zone-a")).isFalse();
    }

    // Guards against an instance that was away and does not learn of an evacuation because its revision is higher.
    @Test
    void evacuationOfTheCopyIsInForce() {
        read(90);
        read(StoreRevision.of(1, 2), "zone-b");
        assertThat(evacuations.isEvacuated("zone-b")).isTrue();
    }
}
