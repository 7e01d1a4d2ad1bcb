package org.cranberrybend.router.shard;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cranberrybend.core.event.HybridClock;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.wire.generated.DemandAck;
import org.cranberrybend.wire.generated.DemandReport;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.node.UpstreamSource;
import org.cranberrybend.wire.transport.PeerHandler;
import org.cranberrybend.wire.transport.PeerMessenger;

/** Routers of one zone in one process; messages are delivered synchronously or dropped as the test configures. */
final class FakeFleet implements UpstreamSource {
    private static final String ZONE = "szeged-a";

    final ManualTimeSource clock = new ManualTimeSource(1_000);
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final List<Runnable> upstreamListeners = new CopyOnWriteArrayList<>();
    private volatile List<Upstream> upstreams;
    private final Member controller = new Member(
            new ProcessIdentity("szeged-1", "controller", 1, ZONE, "alfold"),
            "szeged-1/controller",
            "",
            MemberState.ALIVE,
            0);
    private final Map<String, DemandReport> reports = new ConcurrentHashMap<>();
    /** Reply of the order controller; reports are dropped while it is null. */
    private volatile DemandAck demandAck;

    private volatile Predicate<Envelope> dropped = envelope -> false;

    FakeFleet(List<Upstream> upstreams, String... instances) {
        this.upstreams = List.copyOf(upstreams);
        for (String instance : instances) {
            nodes.put(instance + "/router", new Node(instance));
        }
        nodes.values().forEach(Node::start);
    }

    FleetSlotBroker broker(String instance) {
        return nodes.get(instance + "/router").broker;
    }

    /** Returns the instance that owns the only shard. */
    String owner() {
        return nodes.values().stream()
                .filter(node -> !node.broker.ownedShardIds().isEmpty())
                .map(node -> node.self.identity().instance())
                .findFirst()
                .orElseThrow();
    }

    void replyToReports(DemandAck reply) {
        demandAck = reply;
    }

    /** Makes every router report once and returns the delivered reports by instance. */
    Map<String, DemandReport> reportDemand() {
        reports.clear();
        nodes.values().forEach(node -> node.broker.reportDemand().join());
        return Map.copyOf(reports);
    }

    void dropMessages(Predicate<Envelope> messages) {
        dropped = messages;
    }

    void kill(String instance) {
        nodes.remove(instance + "/router").broker.stop();
        nodes.values().forEach(node -> node.listeners.forEach(Runnable::run));
    }

    @Override
    public List<Upstream> upstreams() {
        return upstreams;
    }

    @Override
    public long upstreamsReadAtMs() {
        return 1;
    }

    @Override
    public void offerUpstreams(List<Upstream> offered, long readAtMs) {
        upstreams = List.copyOf(offered);
        upstreamListeners.forEach(Runnable::run);
    }

    @Override
    public void addUpstreamListener(Runnable listener) {
        upstreamListeners.add(listener);
    }

    private final class Node implements MemberDirectory, PeerMessenger {
        private final Member self;
        private final FleetSlotBroker broker;
        private final Map<Envelope.BodyCase, PeerHandler> handlers = new EnumMap<>(Envelope.BodyCase.class);
        private final List<Runnable> listeners = new ArrayList<>();

        Node(String instance) {
            ProcessIdentity identity = new ProcessIdentity(instance, "router", 1, ZONE, "alfold");
            self = new Member(identity, instance + "/router", instance, MemberState.ALIVE, 0);
            EventLog events = new EventLog(identity, new HybridClock(clock));
            broker = new FleetSlotBroker(this, FakeFleet.this, this, events, new MetricRegistry(), clock, () -> 0.5);
        }

        void start() {
            listeners.forEach(Runnable::run);
            broker.start();
        }

        @Override
        public Member self() {
            return self;
        }

        @Override
        public List<Member> members() {
            return Stream.concat(nodes.values().stream().map(node -> node.self), Stream.of(controller))
                    .toList();
        }

        @Override
        public Optional<Member> member(String memberId) {
            return Optional.ofNullable(nodes.get(memberId)).map(node -> node.self);
        }

        @Override
        public void addListener(Runnable listener) {
            listeners.add(listener);
        }

        @Override
        public void send(String peerAddress, Envelope.Builder message) {
            deliver(peerAddress, message);
        }

        @Override
        public CompletableFuture<Envelope> request(String peerAddress, Envelope.Builder message, long timeoutMs) {
            return deliver(peerAddress, message)
                    .map(reply -> CompletableFuture.completedFuture(
                            reply.setSender(peerAddress).setIncarnation(1).build()))
                    .orElseGet(() -> CompletableFuture.failedFuture(new IOException("not reached")));
        }

        private Optional<Envelope.Builder> deliver(String peerAddress, Envelope.Builder message) {
            Envelope envelope = message.setSender(self.id()).setIncarnation(1).build();
            if (envelope.hasDemandReport()) {
                DemandAck reply = demandAck;
                if (reply == null || dropped.test(envelope)) {
                    return Optional.empty();
                }
                reports.put(self.identity().instance(), envelope.getDemandReport());
                return Optional.of(Envelope.newBuilder().setDemandAck(reply));
            }
            Node receiver = nodes.get(peerAddress);
            if (receiver == null || dropped.test(envelope)) {
                return Optional.empty();
            }
            return receiver.handlers.get(envelope.getBodyCase()).handle(envelope);
        }

        @Override
        public void register(Envelope.BodyCase bodyCase, PeerHandler handler) {
            handlers.put(bodyCase, handler);
        }
    }
}
