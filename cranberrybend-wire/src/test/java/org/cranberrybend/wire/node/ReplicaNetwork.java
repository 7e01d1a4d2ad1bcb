package org.cranberrybend.wire.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.core.event.HybridClock;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.transport.PeerHandler;
import org.cranberrybend.wire.transport.PeerMessenger;

/** Configuration replicas of several processes on an in-memory network that loses and reorders frames. */
final class ReplicaNetwork {
    final List<Replica> replicas = new ArrayList<>();
    private final List<Runnable> inFlight = new ArrayList<>();
    private final ManualTimeSource timeSource = new ManualTimeSource(0);
    private final Random random;
    private double lossRatio;

    ReplicaNetwork(int count, double lossRatio, Random random) {
        this.random = random;
        this.lossRatio = lossRatio;
        for (int i = 0; i < count; i++) {
            replicas.add(new Replica(i));
        }
    }

    /** Advances the clock past the retry delay of failed requests. */
    void advanceToRetry() {
        timeSource.advanceMs(1_000);
    }

    void stopLosingFrames() {
        lossRatio = 0;
    }

    /** Delivers, or loses, one random in-flight frame; returns false if there is none. */
    boolean deliverOne() {
        if (inFlight.isEmpty()) {
            return false;
        }
        int chosen = random.nextInt(inFlight.size());
        Runnable delivery = inFlight.get(chosen);
        inFlight.set(chosen, inFlight.get(inFlight.size() - 1));
        inFlight.remove(inFlight.size() - 1);
        delivery.run();
        return true;
    }

    private List<Member> members() {
        return replicas.stream().map(replica -> replica.member).toList();
    }

    /** The configuration replica of one process and its messenger. */
    final class Replica implements PeerMessenger {
        final Member member;
        final ConfigurationReplication configuration;
        private final Map<Envelope.BodyCase, PeerHandler> handlers = new EnumMap<>(Envelope.BodyCase.class);

        private Replica(int index) {
            String zone = "zone-" + index % 2;
            ProcessIdentity identity = new ProcessIdentity("entry-" + index, "router", 1, zone, "region");
            member = new Member(identity, Integer.toString(index), "", MemberState.ALIVE);
            EventLog eventLog = new EventLog(identity, new HybridClock(timeSource));
            PeerGroup peers = new PeerGroup(identity, ReplicaNetwork.this::members, this, random);
            configuration =
                    new ConfigurationReplication(eventLog, timeSource, peers, new ChangeListeners(Runnable::run));
        }

        /** Sends a frame without a body; its header carries the revision of this replica. */
        void announceTo(Replica receiver) {
            send(receiver.member.peerAddress(), Envelope.newBuilder());
        }

        @Override
        public void send(String peerAddress, Envelope.Builder message) {
            Envelope frame = withHeader(message);
            transmit(() -> replicas.get(Integer.parseInt(peerAddress)).receive(frame), () -> {});
        }

        @Override
        public CompletableFuture<Envelope> request(String peerAddress, Envelope.Builder message, long timeoutMs) {
            CompletableFuture<Envelope> future = new CompletableFuture<>();
            Runnable lost = () -> future.completeExceptionally(new IOException("frame lost"));
            Replica receiver = replicas.get(Integer.parseInt(peerAddress));
            Envelope frame = withHeader(message);
            transmit(
                    () -> receiver.receive(frame)
                            .map(receiver::withHeader)
                            .ifPresent(reply -> transmit(
                                    () -> {
                                        configuration.observe(reply);
                                        future.complete(reply);
                                    },
                                    lost)),
                    lost);
            return future;
        }

        @Override
        public void register(Envelope.BodyCase bodyCase, PeerHandler handler) {
            handlers.put(bodyCase, handler);
        }

        private Envelope withHeader(Envelope.Builder message) {
            message.setSender(member.id());
            configuration.fillHeader(message);
            return message.build();
        }

        private void transmit(Runnable delivery, Runnable loss) {
            inFlight.add(random.nextDouble() < lossRatio ? loss : delivery);
        }

        private Optional<Envelope.Builder> receive(Envelope frame) {
            configuration.observe(frame);
            PeerHandler handler = handlers.get(frame.getBodyCase());
            return handler == null ? Optional.empty() : handler.handle(frame);
        }
    }
}
