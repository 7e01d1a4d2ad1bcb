package org.cranberrybend.entry.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.quarantine.Quarantine;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.Test;

class ProbeClaimsTest {
    private static final int INSTANCES = 20;

    private final TestClock clock = new TestClock();
    private final MemoryStore store = new MemoryStore(clock);
    private final List<ProbeClaims> instances = IntStream.range(0, INSTANCES)
            .mapToObj(i -> new ProbeClaims(store, "instance" + i, clock))
            .collect(Collectors.toList());

    private static Quarantine quarantine(String part) {
        return new Quarantine(Set.of(PartFingerprint.of("model", part)), 3, 0, Set.of());
    }

    private long claims(String part) {
        return instances.stream()
                .filter(each -> each.claim(quarantine(part)).join())
                .count();
    }

    // Guards against a herd of probes: instances that end their blocks together must not all send one.
    @Test
    void oneInstanceOfTheFleetProbesInEachInterval() {
        assertThat(claims("part")).isEqualTo(1);
        clock.advance(ProbeClaims.PROBE_INTERVAL_MS - 1);
        assertThat(claims("part")).isEqualTo(0);
        clock.advance(1);
        assertThat(claims("part")).isEqualTo(1);
        assertThat(claims("other part")).isEqualTo(1);
    }

    // Guards against a store call for each refused request.
    @Test
    void repeatedClaimsDoNotCallTheStore() {
        claims("part");
        int writes = store.writes();
        claims("part");
        assertThat(store.writes()).isEqualTo(writes);
    }

    // Guards against probes of instances that cannot agree: while the store is unavailable, nobody probes.
    @Test
    void nobodyProbesWithoutTheStore() {
        store.setDown(true);
        assertThat(claims("part")).isEqualTo(0);
        store.setDown(false);
        clock.advance(ProbeClaims.PROBE_INTERVAL_MS);
        assertThat(claims("part")).isEqualTo(1);
    }

    // Guards against two probes after a lost response: the claim may have been written.
    @Test
    void claimWithoutAResponseIsNoClaim() {
        store.loseReplies(1, false);
        assertThat(claims("part")).isEqualTo(0);
    }

    // The store comes back from a copy without a claim: guards against a second probe at the same time.
    @Test
    void nobodyProbesUntilALostClaimHasEnded() {
        MemoryStore.Copy copy = store.copy();
        assertThat(instances.get(0).claim(quarantine("part")).join()).isTrue();
        clock.advance(1_000);
        store.restore(copy);
        assertThat(claims("part")).isEqualTo(0);
        clock.advance(ProbeClaims.PROBE_INTERVAL_MS);
        assertThat(claims("part")).isEqualTo(1);
    }
}
