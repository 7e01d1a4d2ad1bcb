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

/** Property test of {@link MembershipTable}: compares the tables of simulated processes with their real state. */
class MembershipFuzzTest {
    private static final int PROCESS_COUNT = 5;

    /** Time limit for detecting a killed process and for agreement after the network has healed. */
    private static final long BOUND_MS = 40_000;

    /** Highest incarnation of each member that each process has listed. */
    private final Map<MembershipNetwork.Process, Map<String, Long>> highestIncarnations = new HashMap<>();

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

    // Live members must not stay listed as dead, killed ones must not stay listed as live, and a late update of an
    // earlier incarnation must not replace a later one.
    @Property(tries = 300, seed = "20260711", edgeCases = EdgeCasesMode.NONE)
    void tablesAgreeWithTheProcesses(@ForAll("actions") List<Action> actions, @ForAll long networkSeed) {
        highestIncarnations.clear();
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
        Map<String, Long> seen = highestIncarnations.computeIfAbsent(observer, key -> new HashMap<>());
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
