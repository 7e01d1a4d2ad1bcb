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
 * Compares configuration replicas, whose frames are lost and reordered, with the history that operators wrote. A store
 * that came back with older data offers old revisions, and change sets that another history put on top of them.
 */
class ConfigurationFuzzTest {
    private static final int REPLICA_COUNT = 4;

    /** Above the number of change sets that a replica keeps, so that some are only available in a snapshot. */
    private static final int MAX_REVISION = ConfigurationHistory.CAPACITY + 40;

    /** Keeps the logger configured: it is only weakly referenced otherwise. */
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
    static void silenceEvents() {
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

    /** The states of a history by revision, and the change sets between them. */
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

    // Guards against a configuration that reverts, mixes two histories, or does not reach a replica.
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
        // The only replica with the last revision lacks the change sets before it.
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
        long last = history.latest().revision();
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
                replica.configuration.offerSnapshot(history.states.get((int) Math.max(0, last - action.amount())));
                break;
            case READ_DIVERGENT_HISTORY:
                divergentChangeSets(history, (int) Math.max(0, last - action.amount()))
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
     * Change sets written on top of an older revision. The first is left out: on its own it follows that revision
     * correctly, and only the controllers prevent that it is written.
     */
    private static List<ChangeSet> divergentChangeSets(History history, int baseRevision) {
        History other = new History();
        other.states.set(0, history.states.get(baseRevision));
        for (int i = 0; i < 5; i++) {
            other.append("ben");
        }
        return other.changeSets.subList(1, other.changeSets.size());
    }

    private static void check(ReplicaNetwork network, History history, long[] revisions) {
        for (int i = 0; i < REPLICA_COUNT; i++) {
            ConfigurationState state = network.replicas.get(i).configuration.state();
            assertWithMessage("revision of replica %s", i)
                    .that(state.revision())
                    .isAtLeast(revisions[i]);
            revisions[i] = state.revision();
            assertWithMessage("state of replica %s", i).that(state).isEqualTo(history.states.get((int)
                    state.revision()));
        }
    }
}
