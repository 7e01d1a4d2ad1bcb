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

/** Runs the membership protocol: probes, indirect probes, and the exchange of member lists. */
final class MembershipService {
    /** Changes per probe; with 100 bytes each, a probe stays within two packets. */
    private static final int MAX_UPDATES_PER_MESSAGE = 16;

    private static final int INDIRECT_PROBER_COUNT = 3;
    private static final long TICK_MS = 100;
    private static final long PROBE_PERIOD_MS = 500;

    /** Bound on a direct probe: ten times the round trip between regions. */
    private static final long PROBE_TIMEOUT_MS = 400;

    private static final long INDIRECT_PROBE_TIMEOUT_MS = 800;
    private static final long SYNC_TIMEOUT_MS = 2_000;

    /** Period of exchanging the whole list with one member or seed, which repairs what gossip missed. */
    private static final long SYNC_PERIOD_MS = 10_000;

    /** Period of contacting the seeds while no other member is known. */
    private static final long ISOLATED_SYNC_PERIOD_MS = 500;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The membership lock: after the configuration lock. Guards the table and the schedule. */
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
     * What the probes carry and whom they tell.
     *
     * @param digests returns the digests added to probes
     * @param contacted called with the address and the digests of a member that probed or answered
     * @param paused called after a pause of this process
     * @param synchronizedWith called with each answer to a request for the member list
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
            Callbacks collaborators) {
        this.settings = settings;
        this.eventLog = eventLog;
        this.timeSource = timeSource;
        this.messenger = messenger;
        this.listeners = listeners;
        this.callbacks = collaborators;
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

    /** Starts the probes, after the peer port was bound. */
    void start(int boundPort) {
        long nowMs = timeSource.monotonicMs();
        update(() -> table.setAddresses(settings.host() + ":" + boundPort, settings.adminAddress(), nowMs));
        lastTickMs = nowMs;
        lastSyncMs = nowMs;
        settings.seedAddresses().forEach(this::synchronizeWith);
        ticker.scheduleWithFixedDelay(catchingExceptions(this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        ticker.scheduleWithFixedDelay(catchingExceptions(this::probe), TICK_MS, PROBE_PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    /** An exception would end the periodic task, and with it the membership of this process. */
    private static Runnable catchingExceptions(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOGGER.atSevere().withCause(e).log("membership task failed");
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

    /** Returns whether the ticks have stopped for so long that this process must have been paused. */
    boolean isPaused() {
        return timeSource.monotonicMs() - lastTickMs > settings.membership().pauseMs();
    }

    void leave() {
        update(table::leave);
        Envelope.Builder message = updates(List.of(self));
        for (Member member : members) {
            if (!member.id().equals(self.id())) {
                messenger.send(member.peerAddress(), message.clone());
            }
        }
    }

    /** Changes the table under the lock; then records events and tells the listeners without it. */
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
        boolean lonely = members.size() == 1;
        if (paused[0] || nowMs - lastSyncMs >= (lonely ? ISOLATED_SYNC_PERIOD_MS : SYNC_PERIOD_MS)) {
            lastSyncMs = nowMs;
            synchronizePeriodically(paused[0] || lonely);
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

    /** Asks a process for its list of members, and tells it about this one. */
    private void synchronizeWith(String address) {
        if (address.equals(self.peerAddress())) {
            return;
        }
        messenger.request(address, hello(), SYNC_TIMEOUT_MS).thenAccept(frame -> {
            apply(frame.getMemberUpdates().getMembersList());
            callbacks.onSynchronized().accept(address, frame);
            List<Member> about;
            synchronized (membershipLock) {
                about = table.updatesFor(frame.getSender(), 1);
            }
            boolean mustRefute = about.stream().anyMatch(report -> report.id().equals(frame.getSender()));
            if (mustRefute) {
                messenger.send(address, updates(about));
            }
        });
    }

    Envelope.Builder hello() {
        return Envelope.newBuilder().setHello(Hello.newBuilder().setSelf(WireConversions.toWire(self)));
    }

    private static Envelope.Builder updates(Collection<Member> reports) {
        return Envelope.newBuilder()
                .setMemberUpdates(MemberUpdates.newBuilder()
                        .addAllMembers(
                                reports.stream().map(WireConversions::toWire).toList()));
    }

    private void apply(List<MemberInfo> reports) {
        List<Member> parsed = reports.stream().map(WireConversions::fromWire).toList();
        long nowMs = timeSource.monotonicMs();
        if (!parsed.isEmpty()) {
            update(() -> parsed.forEach(report -> table.apply(report, nowMs)));
        }
    }

    private Envelope.Builder replyToHello(Envelope frame) {
        apply(List.of(frame.getHello().getSelf()));
        List<Member> reports;
        synchronized (membershipLock) {
            reports = new ArrayList<>(table.all());
            // A forgotten member is not listed, but must learn that it was declared dead.
            reports.addAll(table.updatesFor(frame.getSender(), 1));
        }
        return updates(reports);
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
        List<Member> helpers;
        synchronized (membershipLock) {
            target = schedule.next(table).orElse(null);
            helpers = target == null ? List.of() : schedule.indirectProbers(table, target, INDIRECT_PROBER_COUNT);
        }
        if (target != null) {
            ping(target).whenComplete((reached, failure) -> {
                if (failure == null && reached) {
                    update(() -> table.probeAnswered(target));
                } else {
                    probeIndirectly(target, helpers, startedAtMs);
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

    private void probeIndirectly(Member target, List<Member> helpers, long startedAtMs) {
        if (!target.isLive()) {
            return;
        }
        List<CompletableFuture<Boolean>> attempts = new ArrayList<>();
        for (Member helper : helpers) {
            Envelope.Builder request = Envelope.newBuilder()
                    .setPingRequest(PingRequest.newBuilder().setTarget(WireConversions.toWire(target)));
            attempts.add(messenger
                    .request(helper.peerAddress(), request, INDIRECT_PROBE_TIMEOUT_MS)
                    .handle((frame, failure) -> {
                        if (failure != null) {
                            return false;
                        }
                        apply(frame.getAck().getUpdatesList());
                        return frame.getAck().getReached();
                    }));
        }
        CompletableFuture.allOf(attempts.toArray(new CompletableFuture<?>[0])).whenComplete((all, failure) -> {
            boolean reached = attempts.stream().anyMatch(attempt -> attempt.getNow(false));
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
            // The target did not answer this process either, which is the answer.
        }
        return Envelope.newBuilder()
                .setAck(Ack.newBuilder().setReached(reached).addAllUpdates(updatesFor(frame.getSender())));
    }
}
