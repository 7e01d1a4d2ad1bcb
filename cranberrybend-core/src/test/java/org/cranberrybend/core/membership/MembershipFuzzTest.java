package org.cranberrybend.core.membership;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Compares the tables of processes under random faults with what is known about the processes. */
class MembershipFuzzTest {
    private static final int PROCESS_COUNT = 5;

    /** Bound on both the detection of a killed process and the agreement after the network has healed. */
    private static final long BOUND_MS = 40_000;

    /** Highest incarnation of each member that a run has listed. */
    private final Map<MembershipNetwork.Process, Map<String, Long>> highest = new HashMap<>();

    private final Map<Integer, Long> killedAtMs = new HashMap<>();

    enum Kind {
        KILL,
        RESTART,
        PARTITION,
        HEAL,
        PAUSE,
        LEAVE
    }

    record Action(Kind kind, int process, int amount) {}

    @Provide
    Arbitrary<List<Action>> actions() {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, PROCESS_COUNT - 1),
                        Arbitraries.integers().between(1, 20))
                .as(Action::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(8);
    }

    // Guards against live members that stay dead, killed ones that stay alive, and a late report of an earlier run.
    @Property(tries = 300, seed = "20260711", edgeCases = EdgeCasesMode.NONE)
    void tablesAgreeWithTheProcesses(@ForAll("actions") List<Action> actions, @ForAll long networkSeed) {
        highest.clear();
        killedAtMs.clear();
        MembershipNetwork network = new MembershipNetwork(PROCESS_COUNT, new Random(networkSeed));
        run(network, 10_000);
        for (Action action : actions) {
            perform(network, action);
            run(network, action.amount() * 1_000L);
        }
        network.partition(0);
        run(network, BOUND_MS);
        for (MembershipNetwork.Process observer : network.processes) {
            if (observer.up) {
                network.processes.forEach(observed -> checkAgreement(observer, observed));
            }
        }
    }

    private void perform(MembershipNetwork network, Action action) {
        MembershipNetwork.Process process = network.processes.get(action.process());
        switch (action.kind()) {
            case KILL:
                process.up = false;
                killedAtMs.putIfAbsent(action.process(), network.nowMs());
                break;
            case RESTART:
                killedAtMs.remove(action.process());
                network.restart(action.process());
                break;
            case PARTITION:
                network.partition(action.amount());
                break;
            case PAUSE:
                process.pausedUntilMs = network.nowMs() + action.amount() * 500L;
                break;
            case LEAVE:
                process.table.leave();
                break;
            default:
                network.partition(0);
                break;
        }
    }

    private void run(MembershipNetwork network, long durationMs) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += MembershipNetwork.STEP_MS) {
            network.step();
            for (MembershipNetwork.Process observer : network.processes) {
                if (observer.up) {
                    checkIncarnations(observer);
                    checkKilled(network, observer);
                }
            }
        }
    }

    private void checkIncarnations(MembershipNetwork.Process observer) {
        Map<String, Long> seen = highest.computeIfAbsent(observer, key -> new HashMap<>());
        for (Member member : observer.table.all()) {
            long before = seen.merge(member.id(), member.incarnation(), Math::max);
            assertWithMessage("incarnation of %s at entry-%s", member.id(), observer.index)
                    .that(member.incarnation())
                    .isEqualTo(before);
        }
    }

    private void checkKilled(MembershipNetwork network, MembershipNetwork.Process observer) {
        killedAtMs.forEach((killed, atMs) -> {
            boolean due = network.nowMs() - Math.max(atMs, observer.startedAtMs) > BOUND_MS
                    && network.nowMs() - observer.pausedUntilMs > BOUND_MS;
            boolean live = observer.table.liveOthers().stream()
                    .anyMatch(member -> member.peerAddress().equals(Integer.toString(killed)));
            assertWithMessage("killed entry-%s is live at entry-%s", killed, observer.index)
                    .that(due && live)
                    .isFalse();
        });
    }

    private static void checkAgreement(MembershipNetwork.Process observer, MembershipNetwork.Process observed) {
        Member truth = observed.table.self();
        Optional<Member> believed = observer.table.find(truth.id()).filter(Member::isLive);
        assertWithMessage("entry-%s at entry-%s", observed.index, observer.index)
                .that(believed.isPresent())
                .isEqualTo(observed.up);
        believed.ifPresent(member -> assertWithMessage("incarnation of entry-%s", observed.index)
                .that(member.incarnation())
                .isEqualTo(truth.incarnation()));
    }
}
