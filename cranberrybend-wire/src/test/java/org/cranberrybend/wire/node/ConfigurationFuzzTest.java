package org.cranberrybend.wire.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.runtime.event.EventLog;

/**
 * Compares configuration replicas with the history written by operators, while frames are lost and reordered. Reads of
 * a store that was restored from older data return old revisions and change sets of a history that diverges from them.
 */
class ConfigurationFuzzTest {
    private static final int REPLICA_COUNT = 4;

    /** Exceeds the capacity of the history, so that some revisions can only be replicated as a snapshot. */
    private static final int MAX_REVISION = ConfigurationHistory.CAPACITY + 40;

    /** Strong reference: the log manager holds loggers weakly, and a collected logger loses its level. */
    private static final Logger EVENT_LOGGER = Logger.getLogger(EventLog.class.getName());

    enum Kind {
        WRITE,
        WRITE_BURST,
        READ_STORE,
        READ_OLDER_STORE,
        READ_DIVERGENT_HISTORY,
        ANNOUNCE,
        DELIVER
    }

    record Action(Kind kind, int replica, int amount) {}

    @BeforeContainer
    static void disableEventLog() {
        EVENT_LOGGER.setLevel(Level.OFF);
    }

    @Provide
    Arbitrary<List<Action>> actions() {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, REPLICA_COUNT - 1),
                        Arbitraries.integers().between(1, 30))
                .as(Action::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(40);
    }

    /** Configuration states indexed by revision, and the change sets between them. */
    private static final class History {
        private final List<ConfigurationState> states = new ArrayList<>(List.of(ConfigurationState.EMPTY));
        private final List<ChangeSet> changeSets = new ArrayList<>();

        ConfigurationState latest() {
            return states.get(states.size() - 1);
        }

        ChangeSet append(String author) {
            ChangeSet changeSet = Fleet.nextChangeSet(latest(), author);
            changeSets.add(changeSet);
            states.add(latest().apply(changeSet));
            return changeSet;
        }
    }

    // Guards against a replica that reverts to an older revision, mixes two histories or misses the latest revision.
    @Property(tries = 200, seed = "20260712", edgeCases = EdgeCasesMode.NONE)
    void replicasFollowOneHistory(@ForAll("actions") List<Action> actions, @ForAll long networkSeed) {
        ReplicaNetwork network = new ReplicaNetwork(REPLICA_COUNT, 0.2, new Random(networkSeed));
        History history = new History();
        long[] revisions = new long[REPLICA_COUNT];
        for (Action action : actions) {
            perform(network, history, action);
            check(network, history, revisions);
        }
        network.stopLosingFrames();
        history.append("ana");
        // Only replica 0 has the latest revision, and the snapshot cleared its history of earlier change sets.
        network.replicas.get(0).configuration.offerSnapshot(history.latest());
        network.replicas.get(0).configuration.offer(history.append("ana"));
        for (int round = 0; round < 2 * REPLICA_COUNT; round++) {
            network.advanceToRetry();
            network.replicas.forEach(from -> network.replicas.forEach(from::announceTo));
            while (network.deliverOne()) {
                check(network, history, revisions);
            }
        }
        for (ReplicaNetwork.Replica replica : network.replicas) {
            assertThat(replica.configuration.state()).isEqualTo(history.latest());
        }
    }

    private static void perform(ReplicaNetwork network, History history, Action action) {
        ReplicaNetwork.Replica replica = network.replicas.get(action.replica());
        ReplicaNetwork.Replica other = network.replicas.get((action.replica() + action.amount()) % REPLICA_COUNT);
        long latest = history.latest().revision();
        switch (action.kind()) {
            case WRITE:
                replica.configuration.offer(history.append("ana"));
                break;
            case WRITE_BURST:
                for (int i = 0; i < action.amount() * 10 && history.latest().revision() < MAX_REVISION; i++) {
                    replica.configuration.offer(history.append("ana"));
                }
                break;
            case READ_STORE:
                replica.configuration.offerSnapshot(history.latest());
                break;
            case READ_OLDER_STORE:
                replica.configuration.offerSnapshot(history.states.get((int) Math.max(0, latest - action.amount())));
                break;
            case READ_DIVERGENT_HISTORY:
                divergentChangeSets(history, (int) Math.max(0, latest - action.amount()))
                        .forEach(replica.configuration::offer);
                break;
            case ANNOUNCE:
                replica.announceTo(other);
                break;
            default:
                network.advanceToRetry();
                for (int i = 0; i < action.amount(); i++) {
                    network.deliverOne();
                }
                break;
        }
    }

    /**
     * Returns change sets of a divergent history based on an older revision, without the first one: a replica at that
     * revision would rightly accept it, and only the controllers prevent that it is written.
     */
    private static List<ChangeSet> divergentChangeSets(History history, int baseRevision) {
        History divergent = new History();
        divergent.states.set(0, history.states.get(baseRevision));
        for (int i = 0; i < 5; i++) {
            divergent.append("ben");
        }
        return divergent.changeSets.subList(1, divergent.changeSets.size());
    }

    private static void check(ReplicaNetwork network, History history, long[] revisions) {
        for (int i = 0; i < REPLICA_COUNT; i++) {
            ConfigurationState state = network.replicas.get(i).configuration.state();
            assertWithMessage("accepted revision of replica %s", i)
                    .that(state.revision())
                    .isAtLeast(revisions[i]);
            revisions[i] = state.revision();
            assertWithMessage("accepted state of replica %s", i).that(state).isEqualTo(history.states.get((int)
                    state.revision()));
        }
    }
}
