package org.cranberrybend.core.membership;

import static com.google.common.truth.Truth.assertThat;

import org.cranberrybend.core.event.ProcessIdentity;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembershipTableTest {
    private static final MembershipSettings SETTINGS = new MembershipSettings(3_000, 2_000, 10_000, 4);

    private static Member member(String instance, long incarnation, long refutations, MemberState state) {
        ProcessIdentity identity = new ProcessIdentity(instance, "router", incarnation, "zone", "region");
        return new Member(identity, instance + ":1", instance + ":2", state, refutations);
    }

    private static MembershipTable table() {
        return new MembershipTable(member("self", 1, 0, MemberState.ALIVE), SETTINGS, 0);
    }

    private static void tickUntil(MembershipTable table, long fromMs, long toMs) {
        for (long nowMs = fromMs; nowMs <= toMs; nowMs += 1_000) {
            table.tick(nowMs);
        }
    }

    // The update with the higher version must win, whatever the order of arrival.
    @ParameterizedTest
    @CsvSource({
        "2, 0, ALIVE, 1, 9, DEAD, 2, 0, ALIVE",
        "1, 9, DEAD, 2, 0, ALIVE, 2, 0, ALIVE",
        "1, 0, SUSPECT, 1, 0, ALIVE, 1, 0, SUSPECT",
        "1, 0, SUSPECT, 1, 1, ALIVE, 1, 1, ALIVE",
        "1, 1, ALIVE, 1, 0, DEAD, 1, 1, ALIVE",
        "1, 0, LEAVING, 1, 0, SUSPECT, 1, 0, LEAVING",
        "1, 0, DEAD, 1, 0, LEAVING, 1, 0, DEAD",
    })
    void higherVersionWins(
            long firstIncarnation,
            long firstRefutations,
            MemberState firstState,
            long secondIncarnation,
            long secondRefutations,
            MemberState secondState,
            long incarnation,
            long refutations,
            MemberState state) {
        MembershipTable table = table();
        table.apply(member("peer", firstIncarnation, firstRefutations, firstState), 0);
        table.apply(member("peer", secondIncarnation, secondRefutations, secondState), 0);

        assertThat(table.find("peer/router")).hasValue(member("peer", incarnation, refutations, state));
    }

    // A process that was paused must not take the missing replies for failures of the other members.
    @Test
    void ownPauseDeclaresNobodyDead() {
        MembershipTable table = table();
        Member probed = member("probed", 1, 0, MemberState.ALIVE);
        table.apply(probed, 0);
        table.apply(member("suspect", 1, 0, MemberState.SUSPECT), 0);
        table.drainChanges();

        table.probeFailed(probed, 0, 60_000);
        assertThat(table.tick(60_000)).isTrue();
        table.probeFailed(probed, 0, 60_100);
        table.tick(60_100);

        assertThat(table.self().refutations()).isEqualTo(1);
        assertThat(table.drainChanges()).containsExactly(new MemberChange(MemberChange.Kind.PAUSED, table.self()));
    }

    // A late update must not resurrect a removed member, and the member must be able to return with a refutation.
    @Test
    void lateUpdateDoesNotResurrectRemovedMember() {
        MembershipTable table = table();
        Member peer = member("peer", 1, 0, MemberState.ALIVE);
        table.apply(peer, 0);
        table.apply(peer.withState(MemberState.DEAD), 0);
        tickUntil(table, 1_000, 12_000);
        assertThat(table.find("peer/router")).isEmpty();

        table.apply(peer, 12_000);
        assertThat(table.liveOthers()).isEmpty();
        assertThat(table.updatesFor("peer/router", 1)).containsExactly(peer.withState(MemberState.DEAD));

        table.apply(peer.withRefutations(1), 12_000);
        assertThat(table.liveOthers()).containsExactly(peer.withRefutations(1));
    }

    // A leaving member cannot refute, so it must not be declared dead while it replies to probes.
    @Test
    void replyEndsSuspicionOfLeavingMember() {
        MembershipTable table = table();
        Member leaving = member("peer", 1, 0, MemberState.LEAVING);
        table.apply(leaving, 0);
        table.probeFailed(leaving, 0, 0);
        table.probeAnswered(leaving);
        tickUntil(table, 1_000, 5_000);
        assertThat(table.liveOthers()).containsExactly(leaving);

        table.probeFailed(leaving, 5_000, 5_000);
        tickUntil(table, 6_000, 8_000);
        assertThat(table.liveOthers()).isEmpty();
    }

    // A probe that fails after the member has refuted must not make the member suspect again.
    @Test
    void refutationOverridesFailedProbe() {
        MembershipTable table = table();
        Member probed = member("peer", 1, 0, MemberState.ALIVE);
        table.apply(probed, 0);
        table.apply(probed.withRefutations(1), 500);

        table.probeFailed(probed, 0, 1_000);

        assertThat(table.liveOthers()).containsExactly(probed.withRefutations(1));
    }

    // An update must be gossiped a bounded number of times.
    @Test
    void updateIsGossipedABoundedNumberOfTimes() {
        MembershipTable table = table();
        table.apply(member("peer", 1, 0, MemberState.ALIVE), 0);
        int transmissions = 0;
        while (transmissions < 100 && !table.updatesFor("other", 8).isEmpty()) {
            transmissions++;
        }

        assertThat(transmissions).isEqualTo(8);
    }
}
