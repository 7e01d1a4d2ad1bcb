package org.cranberrybend.experiment.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.core.usage.UsageCounters;
import org.cranberrybend.core.usage.UsageKey;
import org.cranberrybend.core.usage.UsageTotals;
import org.cranberrybend.router.meter.UsageFlusher;
import org.cranberrybend.router.meter.UsageMeter;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.UsageAck;
import org.cranberrybend.wire.generated.UsageWindowCounters;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.transport.PeerHandler;
import org.cranberrybend.wire.transport.PeerMessenger;

/** Usage counters of a router: the heap they use, and the flush to two controllers that is due every second. */
final class UsageGroup implements CapacityGroup {
    private static final int[] COUNTERS = {100, 1_000, 3_000};
    /** Counters that change between two flushes: the number of requests per second of a daemon at the design size. */
    private static final int CHANGED_COUNTERS = 49;

    private static final UsageTotals REQUEST = new UsageTotals(1, 800, 390);

    @Override
    public String name() {
        return "usage";
    }

    @Override
    public List<SlopeMeasurement> measure() {
        Series heap = new Series("heap of UsageCounters, one window", "counters", "KiB");
        Series first = new Series("flush of all counters to two controllers", "counters", "bytes");
        Series next = new Series("flush to two controllers after 49 counters changed", "counters in window", "bytes");
        Series cpu = new Series("CPU to count 49 requests and flush", "counters in window", "us");
        for (int counters : COUNTERS) {
            heap.add(counters, ResourceMeter.retainedKib(() -> filled(counters)));
            MeteredRouter router = new MeteredRouter(counters);
            first.add(counters, router.flush());
            router.countRequests();
            next.add(counters, router.flush());
            cpu.add(counters, ResourceMeter.medianCpuUs(() -> {
                router.countRequests();
                router.flush();
            }));
        }
        return List.of(heap.toMeasurement(), first.toMeasurement(), next.toMeasurement(), cpu.toMeasurement());
    }

    private static UsageCounters filled(int counters) {
        UsageCounters filled = new UsageCounters();
        for (int i = 0; i < counters; i++) {
            filled.add(0, key(i), REQUEST);
        }
        return filled;
    }

    private static UsageKey key(int index) {
        return new UsageKey("client-account-" + index, "counter", "model-" + index % 11);
    }

    /** A router's usage meter and flusher; the messenger counts the bytes sent and acknowledges each flush at once. */
    private static final class MeteredRouter {
        private final UsageMeter meter = new UsageMeter(new ManualTimeSource(0));
        private final AcknowledgingMessenger messenger = new AcknowledgingMessenger();
        private final UsageFlusher flusher = new UsageFlusher(meter, new TwoControllerDirectory(), messenger);

        MeteredRouter(int counters) {
            for (int i = 0; i < counters; i++) {
                meter.count(key(i), REQUEST);
            }
        }

        void countRequests() {
            for (int i = 0; i < CHANGED_COUNTERS; i++) {
                meter.count(key(i), REQUEST);
            }
        }

        /** Flushes the counters and returns the bytes sent. */
        long flush() {
            messenger.bytes = 0;
            flusher.flush().join();
            return messenger.bytes;
        }
    }

    private static final class AcknowledgingMessenger implements PeerMessenger {
        private long bytes;

        @Override
        public void send(String peerAddress, Envelope.Builder message) {
            bytes += Frames.bytes(message);
        }

        @Override
        public CompletableFuture<Envelope> request(String peerAddress, Envelope.Builder message, long timeoutMs) {
            bytes += Frames.bytes(message);
            UsageAck.Builder ack = UsageAck.newBuilder();
            for (UsageWindowCounters window :
                    Frames.transfer(message).getUsageFlush().getWindowsList()) {
                ack.addWindowStartMs(window.getWindowStartMs());
            }
            return CompletableFuture.completedFuture(
                    Envelope.newBuilder().setUsageAck(ack).build());
        }

        @Override
        public void register(Envelope.BodyCase bodyCase, PeerHandler handler) {
            throw new UnsupportedOperationException("this messenger does not receive messages");
        }
    }

    private static final class TwoControllerDirectory implements MemberDirectory {
        private final List<Member> members = new ArrayList<>(FleetFixture.members(2, 1, "controller"));
        private final Member self = FleetFixture.member("entry-9", FleetFixture.zone(0), "router");

        TwoControllerDirectory() {
            members.add(self);
        }

        @Override
        public Member self() {
            return self;
        }

        @Override
        public List<Member> members() {
            return members;
        }

        @Override
        public Optional<Member> member(String memberId) {
            return members.stream().filter(each -> each.id().equals(memberId)).findFirst();
        }

        @Override
        public void addListener(Runnable listener) {
            // The member list does not change.
        }
    }
}
