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

    // Guards against an earlier report, in any order of arrival, that replaces a later one.
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
    void laterReportWins(
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

    // Guards against a process that takes its own pause for the failure of all others.
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

    // Guards against a forgotten member that a late report brings back, and against one that can never return.
    @Test
    void lateReportDoesNotResurrectForgottenMember() {
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

    // Guards against a leaving member that cannot refute and is declared dead although it answers.
    @Test
    void answerEndsTheSuspicionOfLeavingMember() {
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

    // Guards against a suspicion that was refuted while the failed probe was still running.
    @Test
    void refutationCancelsRunningProbe() {
        MembershipTable table = table();
        Member probed = member("peer", 1, 0, MemberState.ALIVE);
        table.apply(probed, 0);
        table.apply(probed.withRefutations(1), 500);

        table.probeFailed(probed, 0, 1_000);

        assertThat(table.liveOthers()).containsExactly(probed.withRefutations(1));
    }

    // Guards against gossip that is repeated for ever.
    @Test
    void changeIsPassedOnABoundedNumberOfTimes() {
        MembershipTable table = table();
        table.apply(member("peer", 1, 0, MemberState.ALIVE), 0);
        int passedOn = 0;
        while (passedOn < 100 && !table.updatesFor("other", 8).isEmpty()) {
            passedOn++;
        }

        assertThat(passedOn).isEqualTo(8);
    }
}
