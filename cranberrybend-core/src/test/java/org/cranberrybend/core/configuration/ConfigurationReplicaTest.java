package org.cranberrybend.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.IntNode;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationReplicaTest {
    private static ConfigurationState stateAt(int revision, String author) {
        ConfigurationState state = ConfigurationState.EMPTY;
        for (int i = 1; i <= revision; i++) {
            state = state.apply(changeAfter(state, author));
        }
        return state;
    }

    private static ChangeSet changeAfter(ConfigurationState state, String author) {
        EntityChange change = new EntityChange(EntityKind.SETTING, "limit", IntNode.valueOf((int) state.revision()));
        return new ChangeSet(state.revision() + 1, state.chainDigest(), author, 0, List.of(change));
    }

    // Guards against a process that goes back to an older configuration or takes over another history.
    @ParameterizedTest
    @CsvSource({
        "3, ana, 3, ana, DUPLICATE, 3",
        "3, ana, 2, ana, OLDER, 3",
        "3, ana, 3, ben, DIVERGED, 3",
        "3, ana, 5, ana, ACCEPTED, 5",
        "0, ana, 1, ana, ACCEPTED, 1",
    })
    void offeredSnapshot(int held, String holder, int offered, String author, OfferResult expected, long revision) {
        ConfigurationReplica replica = new ConfigurationReplica();
        replica.offerSnapshot(stateAt(held, holder));

        assertThat(replica.offerSnapshot(stateAt(offered, author))).isEqualTo(expected);
        assertThat(replica.accepted().revision()).isEqualTo(revision);
    }

    // Guards against skipped revisions and against a change set made on top of another history.
    @ParameterizedTest
    @CsvSource({
        "2, ana, 2, ana, ACCEPTED, 3",
        "2, ana, 2, ben, DIVERGED, 2",
        "2, ana, 3, ana, GAP, 2",
        "2, ana, 1, ana, DUPLICATE, 2",
        "2, ana, 0, ana, OLDER, 2",
    })
    void offeredChangeSet(int held, String holder, int base, String author, OfferResult expected, long revision) {
        ConfigurationReplica replica = new ConfigurationReplica();
        replica.offerSnapshot(stateAt(held, holder));

        assertThat(replica.offer(changeAfter(stateAt(base, author), author))).isEqualTo(expected);
        assertThat(replica.accepted().revision()).isEqualTo(revision);
    }
}
