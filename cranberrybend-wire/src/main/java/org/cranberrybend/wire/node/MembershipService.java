package org.cranberrybend.wire.node;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberChange;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.membership.MembershipTable;
import org.cranberrybend.core.membership.ProbeSchedule;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.wire.generated.Ack;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.Hello;
import org.cranberrybend.wire.generated.MemberInfo;
import org.cranberrybend.wire.generated.MemberUpdates;
import org.cranberrybend.wire.generated.Ping;
import org.cranberrybend.wire.generated.PingRequest;
import org.cranberrybend.wire.generated.ReplicaDigests;
import org.cranberrybend.wire.transport.PeerMessenger;

/**
 * Runs the membership protocol: direct probes, indirect probes, and the exchange of complete member lists, which
 * repairs what gossip missed.
 */
final class MembershipService {
    /** At about 100 bytes per update, a probe fits in two packets. */
    private static final int MAX_UPDATES_PER_MESSAGE = 16;

    private static final int INDIRECT_PROBER_COUNT = 3;
    private static final long TICK_MS = 100;
    private static final long PROBE_PERIOD_MS = 500;

    /** Ten times the round-trip time between regions. */
    private static final long PROBE_TIMEOUT_MS = 400;

    private static final long INDIRECT_PROBE_TIMEOUT_MS = 800;
    private static final long SYNC_TIMEOUT_MS = 2_000;

    /** Period of exchanging the complete member list with one member and one seed. */
    private static final long SYNC_PERIOD_MS = 10_000;

    /** Period of contacting all seeds while no other member is known. */
    private static final long ISOLATED_SYNC_PERIOD_MS = 500;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The membership lock, after the configuration lock in the lock order. Guards the table and the schedule. */
    private final Object membershipLock = new Object();

    private final MembershipTable table;
    private final ProbeSchedule schedule;
    private final PeerNodeSettings settings;
    private final EventLog eventLog;
    private final TimeSource timeSource;
    private final PeerMessenger messenger;
    private final ChangeListeners listeners;
    private final Callbacks callbacks;
    private final Random random = new Random();
    private final ScheduledExecutorService ticker =
            Executors.newSingleThreadScheduledExecutor(new ThreadFactoryBuilder()
                    .setNameFormat("peer-membership")
                    .setDaemon(true)
                    .build());
    private volatile List<Member> members;
    private volatile Member self;
    private volatile long lastTickMs;
    private long lastSyncMs;

    /**
     * Callbacks into the state replication.
     *
     * @param digests returns the replica digests to send with probes and acks
     * @param onContact called with the address and the replica digests of a member that sent a probe or an ack
     * @param onPause called after a pause of this process
     * @param onSynchronized called with the peer address and each reply to a request for the member list
     */
    record Callbacks(
            Supplier<ReplicaDigests> digests,
            BiConsumer<String, ReplicaDigests> onContact,
            Runnable onPause,
            BiConsumer<String, Envelope> onSynchronized) {}

    MembershipService(
            PeerNodeSettings settings,
            EventLog eventLog,
            TimeSource timeSource,
            PeerMessenger messenger,
            ChangeListeners listeners,
            Callbacks callbacks) {
        this.settings = settings;
        this.eventLog = eventLog;
        this.timeSource = timeSource;
        this.messenger = messenger;
        this.listeners = listeners;
        this.callbacks = callbacks;
        long nowMs = timeSource.monotonicMs();
        this.self = new Member(
                settings.identity(),
                settings.host() + ":" + settings.peerPort(),
                settings.adminAddress(),
                MemberState.ALIVE);
        this.table = new MembershipTable(self, settings.membership(), nowMs);
        this.schedule = new ProbeSchedule(random);
        this.members = List.of(self);
        this.lastTickMs = nowMs;
    }

    void register() {
        messenger.register(Envelope.BodyCase.HELLO, frame -> Optional.of(replyToHello(frame)));
        messenger.register(Envelope.BodyCase.PING, frame -> Optional.of(replyToPing(frame)));
        messenger.register(Envelope.BodyCase.PING_REQUEST, frame -> Optional.of(replyToPingRequest(frame)));
        messenger.register(Envelope.BodyCase.MEMBER_UPDATES, frame -> {
            apply(frame.getMemberUpdates().getMembersList());
            return Optional.empty();
        });
    }

    /** Starts the periodic tasks, after the peer port was bound. */
    void start(int boundPort) {
        long nowMs = timeSource.monotonicMs();
        update(() -> table.setAddresses(settings.host() + ":" + boundPort, settings.adminAddress(), nowMs));
        lastTickMs = nowMs;
        lastSyncMs = nowMs;
        settings.seedAddresses().forEach(this::synchronizeWith);
        ticker.scheduleWithFixedDelay(catchingExceptions(this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        ticker.scheduleWithFixedDelay(catchingExceptions(this::probe), TICK_MS, PROBE_PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    /** Wraps a periodic task: an exception would cancel it, and this process would be declared dead. */
    private static Runnable catchingExceptions(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOGGER.atSevere().withCause(e).log("periodic membership task failed");
            }
        };
    }

    void stop() {
        ticker.shutdownNow();
        try {
            ticker.awaitTermination(SYNC_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    Member self() {
        return self;
    }

    List<Member> members() {
        return members;
    }

    /** Returns whether the last tick is so long ago that this process must have been paused. */
    boolean isPaused() {
        return timeSource.monotonicMs() - lastTickMs > settings.membership().pauseMs();
    }

    void leave() {
        update(table::leave);
        Envelope.Builder message = memberUpdates(List.of(self));
        for (Member member : members) {
            if (!member.id().equals(self.id())) {
                messenger.send(member.peerAddress(), message.clone());
            }
        }
    }

    /** Changes the table under the membership lock, then records events and notifies the listeners without it. */
    private void update(Runnable change) {
        List<MemberChange> changes;
        synchronized (membershipLock) {
            change.run();
            changes = table.drainChanges();
            self = table.self();
            members = table.snapshot();
        }
        for (MemberChange each : changes) {
            eventLog.record(
                    eventCode(each.kind()),
                    each.member().id(),
                    Map.of(
                            "change", each.kind().name(),
                            "member_incarnation", each.member().incarnation(),
                            "refutations", each.member().refutations()));
        }
        if (!changes.isEmpty()) {
            listeners.notifyChanged();
        }
    }

    private static EventCode eventCode(MemberChange.Kind kind) {
        switch (kind) {
            case SUSPECTED:
                return EventCode.MEMBER_SUSPECTED;
            case LEAVING:
                return EventCode.MEMBER_LEAVING;
            case DEAD:
                return EventCode.MEMBER_DEAD;
            case REFUTED:
                return EventCode.MEMBER_REFUTED;
            case PAUSED:
                return EventCode.PAUSE_DETECTED;
            default:
                return EventCode.MEMBER_JOINED;
        }
    }

    private void tick() {
        long nowMs = timeSource.monotonicMs();
        boolean[] paused = new boolean[1];
        update(() -> paused[0] = table.tick(nowMs));
        if (paused[0]) {
            callbacks.onPause().run();
        }
        lastTickMs = nowMs;
        boolean isolated = members.size() == 1;
        if (paused[0] || nowMs - lastSyncMs >= (isolated ? ISOLATED_SYNC_PERIOD_MS : SYNC_PERIOD_MS)) {
            lastSyncMs = nowMs;
            synchronizePeriodically(paused[0] || isolated);
        }
    }

    private void synchronizePeriodically(boolean withAllSeeds) {
        List<String> addresses = new ArrayList<>();
        for (Member member : members) {
            if (!member.id().equals(self.id())) {
                addresses.add(member.peerAddress());
            }
        }
        Collections.shuffle(addresses, random);
        if (!addresses.isEmpty()) {
            synchronizeWith(addresses.get(0));
        }
        List<String> seeds = new ArrayList<>(settings.seedAddresses());
        seeds.removeAll(addresses);
        Collections.shuffle(seeds, random);
        seeds.subList(0, withAllSeeds ? seeds.size() : Math.min(1, seeds.size()))
                .forEach(this::synchronizeWith);
    }

    /** Requests the member list of a process; the request announces this process to it. */
    private void synchronizeWith(String address) {
        if (address.equals(self.peerAddress())) {
            return;
        }
        messenger.request(address, hello(), SYNC_TIMEOUT_MS).thenAccept(frame -> {
            apply(frame.getMemberUpdates().getMembersList());
            callbacks.onSynchronized().accept(address, frame);
            List<Member> updates;
            synchronized (membershipLock) {
                updates = table.updatesFor(frame.getSender(), 1);
            }
            boolean mustRefute = updates.stream().anyMatch(update -> update.id().equals(frame.getSender()));
            if (mustRefute) {
                messenger.send(address, memberUpdates(updates));
            }
        });
    }

    Envelope.Builder hello() {
        return Envelope.newBuilder().setHello(Hello.newBuilder().setSelf(WireConversions.toWire(self)));
    }

    private static Envelope.Builder memberUpdates(Collection<Member> updates) {
        return Envelope.newBuilder()
                .setMemberUpdates(MemberUpdates.newBuilder()
                        .addAllMembers(
                                updates.stream().map(WireConversions::toWire).toList()));
    }

    private void apply(List<MemberInfo> updates) {
        List<Member> parsed = updates.stream().map(WireConversions::fromWire).toList();
        long nowMs = timeSource.monotonicMs();
        if (!parsed.isEmpty()) {
            update(() -> parsed.forEach(update -> table.apply(update, nowMs)));
        }
    }

    private Envelope.Builder replyToHello(Envelope frame) {
        apply(List.of(frame.getHello().getSelf()));
        List<Member> updates;
        synchronized (membershipLock) {
            updates = new ArrayList<>(table.all());
            // The list omits removed members, but a removed sender must learn that it was declared dead.
            updates.addAll(table.updatesFor(frame.getSender(), 1));
        }
        return memberUpdates(updates);
    }

    private Envelope.Builder replyToPing(Envelope frame) {
        Ping ping = frame.getPing();
        apply(ping.getUpdatesList());
        reportContact(frame.getSender(), ping.getReplicaDigests());
        return Envelope.newBuilder()
                .setAck(Ack.newBuilder()
                        .setReached(ping.getTarget().equals(self.id()))
                        .addAllUpdates(updatesFor(frame.getSender()))
                        .setReplicaDigests(callbacks.digests().get()));
    }

    private List<MemberInfo> updatesFor(String memberId) {
        synchronized (membershipLock) {
            return table.updatesFor(memberId, MAX_UPDATES_PER_MESSAGE).stream()
                    .map(WireConversions::toWire)
                    .toList();
        }
    }

    private void reportContact(String memberId, ReplicaDigests digests) {
        for (Member member : members) {
            if (member.id().equals(memberId)) {
                callbacks.onContact().accept(member.peerAddress(), digests);
            }
        }
    }

    private void probe() {
        long startedAtMs = timeSource.monotonicMs();
        Member target;
        List<Member> probers;
        synchronized (membershipLock) {
            target = schedule.next(table).orElse(null);
            probers = target == null ? List.of() : schedule.indirectProbers(table, target, INDIRECT_PROBER_COUNT);
        }
        if (target != null) {
            ping(target).whenComplete((reached, failure) -> {
                if (failure == null && reached) {
                    update(() -> table.probeAnswered(target));
                } else {
                    probeIndirectly(target, probers, startedAtMs);
                }
            });
        }
    }

    private CompletableFuture<Boolean> ping(Member target) {
        Envelope.Builder message = Envelope.newBuilder()
                .setPing(Ping.newBuilder()
                        .setTarget(target.id())
                        .addAllUpdates(updatesFor(target.id()))
                        .setReplicaDigests(callbacks.digests().get()));
        return messenger
                .request(target.peerAddress(), message, PROBE_TIMEOUT_MS)
                .thenApply(frame -> {
                    apply(frame.getAck().getUpdatesList());
                    reportContact(frame.getSender(), frame.getAck().getReplicaDigests());
                    return frame.getAck().getReached();
                });
    }

    private void probeIndirectly(Member target, List<Member> probers, long startedAtMs) {
        if (!target.isLive()) {
            return;
        }
        List<CompletableFuture<Boolean>> probes = new ArrayList<>();
        for (Member prober : probers) {
            Envelope.Builder request = Envelope.newBuilder()
                    .setPingRequest(PingRequest.newBuilder().setTarget(WireConversions.toWire(target)));
            probes.add(messenger
                    .request(prober.peerAddress(), request, INDIRECT_PROBE_TIMEOUT_MS)
                    .handle((frame, failure) -> {
                        if (failure != null) {
                            return false;
                        }
                        apply(frame.getAck().getUpdatesList());
                        return frame.getAck().getReached();
                    }));
        }
        CompletableFuture.allOf(probes.toArray(new CompletableFuture<?>[0])).whenComplete((all, failure) -> {
            boolean reached = probes.stream().anyMatch(probe -> probe.getNow(false));
            if (!reached) {
                update(() -> table.probeFailed(target, startedAtMs, timeSource.monotonicMs()));
            }
        });
    }

    private Envelope.Builder replyToPingRequest(Envelope frame) {
        Member target = WireConversions.fromWire(frame.getPingRequest().getTarget());
        apply(List.of(frame.getPingRequest().getTarget()));
        boolean reached = false;
        try {
            reached = ping(target).get(2 * PROBE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException ignored) {
            // The target did not reply to this process either: the ack reports that it was not reached.
        }
        return Envelope.newBuilder()
                .setAck(Ack.newBuilder().setReached(reached).addAllUpdates(updatesFor(frame.getSender())));
    }
}
