package org.cranberrybend.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import org.cranberrybend.core.event.ProcessIdentity;

/**
 * Processes that run the membership protocol over a network which loses, delays and reorders messages, on an explicit
 * clock. A message to a paused process waits until it resumes, as in the buffers of a kernel.
 */
final class MembershipNetwork {
    static final long STEP_MS = 100;
    private static final long PROBE_PERIOD_MS = 500;
    private static final long DIRECT_TIMEOUT_MS = 400;
    private static final long INDIRECT_TIMEOUT_MS = 800;
    private static final long SYNC_PERIOD_MS = 10_000;
    private static final long MAX_DELAY_MS = 120;
    private static final long LATE_DELAY_MS = 5_000;
    private static final double LOSS_RATIO = 0.05;
    private static final double LATE_RATIO = 0.02;

    /** Short, so that members are forgotten within a run. */
    private static final MembershipSettings SETTINGS = new MembershipSettings(3_000, 2_000, 10_000, 4);

    final List<Process> processes = new ArrayList<>();
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(Comparator.comparingLong(Message::atMs).thenComparingLong(Message::number));
    private final Random random;
    private long lastNumber;
    private long nowMs;
    private int isolated;

    private record Message(long atMs, long number, Process from, int to, Consumer<Process> action) {}

    private record Probe(Member target, long startedAtMs, boolean indirect, boolean[] answered) {}

    MembershipNetwork(int count, Random random) {
        this.random = random;
        for (int i = 0; i < count; i++) {
            processes.add(new Process(i));
        }
    }

    long nowMs() {
        return nowMs;
    }

    /** Separates the processes whose bit is set from the others; 0 heals the network. */
    void partition(int mask) {
        isolated = mask;
    }

    /** Replaces a process by a new run, whether or not the earlier one still runs. */
    void restart(int index) {
        processes.get(index).up = false;
        processes.set(index, new Process(index));
    }

    void step() {
        nowMs += STEP_MS;
        while (!messages.isEmpty() && messages.peek().atMs() <= nowMs) {
            deliver(messages.poll());
        }
        for (Process process : List.copyOf(processes)) {
            if (process.up && nowMs >= process.pausedUntilMs) {
                process.step();
            }
        }
    }

    private void deliver(Message message) {
        Process to = processes.get(message.to());
        if (to.up && nowMs < to.pausedUntilMs) {
            send(to.pausedUntilMs + random.nextInt(50), message.from(), message.to(), message.action());
        } else if (to.up) {
            message.action().accept(to);
        }
    }

    private void send(Process from, int to, Consumer<Process> action) {
        boolean cut = ((isolated >> from.index) & 1) != ((isolated >> to) & 1);
        if (cut || random.nextDouble() < LOSS_RATIO) {
            return;
        }
        boolean late = random.nextDouble() < LATE_RATIO;
        send(nowMs + 1 + random.nextInt((int) (late ? LATE_DELAY_MS : MAX_DELAY_MS)), from, to, action);
    }

    private void send(long atMs, Process from, int to, Consumer<Process> action) {
        messages.add(new Message(atMs, ++lastNumber, from, to, action));
    }

    private static int indexOf(Member member) {
        return Integer.parseInt(member.peerAddress());
    }

    /** One run of one process. */
    final class Process {
        final int index;
        final long startedAtMs = nowMs;
        final MembershipTable table;
        final List<MemberChange> changes = new ArrayList<>();
        boolean up = true;
        long pausedUntilMs;
        private final ProbeSchedule schedule = new ProbeSchedule(random);
        private final List<Probe> probes = new ArrayList<>();
        private long nextProbeMs = nowMs;
        private long nextSyncMs = nowMs;

        private Process(int index) {
            this.index = index;
            ProcessIdentity identity = new ProcessIdentity("entry-" + index, "router", 1 + nowMs, "zone", "region");
            Member self = new Member(identity, Integer.toString(index), "", MemberState.ALIVE);
            table = new MembershipTable(self, SETTINGS, nowMs);
        }

        private void step() {
            // Timers of a resumed process may run before its tick.
            for (Probe probe : List.copyOf(probes)) {
                expire(probe);
            }
            boolean resumed = table.tick(nowMs);
            if (resumed || nowMs >= nextSyncMs) {
                nextSyncMs = nowMs + (table.liveOthers().isEmpty() ? PROBE_PERIOD_MS : SYNC_PERIOD_MS);
                synchronizeWith(random.nextInt(processes.size()));
            }
            if (nowMs >= nextProbeMs) {
                nextProbeMs = nowMs + PROBE_PERIOD_MS;
                schedule.next(table).ifPresent(target -> probe(target, nowMs, false));
            }
            changes.addAll(table.drainChanges());
        }

        private void apply(List<Member> reports) {
            reports.forEach(report -> table.apply(report, nowMs));
        }

        private void synchronizeWith(int peer) {
            Member self = table.self();
            send(this, peer, receiver -> {
                receiver.apply(List.of(self));
                List<Member> answer = new ArrayList<>(receiver.table.all());
                answer.addAll(receiver.table.updatesFor(self.id(), 1));
                String receiverId = receiver.table.self().id();
                send(receiver, index, asker -> {
                    asker.apply(answer);
                    List<Member> about = asker.table.updatesFor(receiverId, 1);
                    send(asker, receiver.index, again -> again.apply(about));
                });
            });
        }

        private void probe(Member target, long startedAtMs, boolean indirect) {
            Probe probe = new Probe(target, startedAtMs, indirect, new boolean[1]);
            probes.add(probe);
            if (!indirect) {
                ping(this, target, probe);
                return;
            }
            for (Member helper : schedule.indirectProbers(table, target, 3)) {
                send(this, indexOf(helper), helping -> ping(helping, target, probe));
            }
        }

        /** Pings on behalf of this process; the answer of an indirect probe takes the way back through the helper. */
        private void ping(Process sender, Member target, Probe probe) {
            List<Member> updates = sender.table.updatesFor(target.id(), 8);
            String senderId = sender.table.self().id();
            send(sender, indexOf(target), receiver -> {
                receiver.apply(updates);
                List<Member> answer = receiver.table.updatesFor(senderId, 8);
                send(receiver, sender.index, answered -> {
                    answered.apply(answer);
                    if (answered == this) {
                        probe.answered()[0] = true;
                    } else {
                        send(answered, index, asker -> probe.answered()[0] = true);
                    }
                });
            });
        }

        private void expire(Probe probe) {
            long boundMs = probe.indirect() ? DIRECT_TIMEOUT_MS + INDIRECT_TIMEOUT_MS : DIRECT_TIMEOUT_MS;
            if (probe.answered()[0]) {
                probes.remove(probe);
                table.probeAnswered(probe.target());
            } else if (nowMs - probe.startedAtMs() >= boundMs) {
                probes.remove(probe);
                if (probe.indirect()) {
                    table.probeFailed(probe.target(), probe.startedAtMs(), nowMs);
                } else if (probe.target().isLive()) {
                    probe(probe.target(), probe.startedAtMs(), true);
                }
            }
        }
    }
}
