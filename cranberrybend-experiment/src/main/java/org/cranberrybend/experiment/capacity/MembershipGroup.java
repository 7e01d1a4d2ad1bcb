package org.cranberrybend.experiment.capacity;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.event.HybridClock;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.membership.MembershipSettings;
import org.cranberrybend.core.membership.MembershipTable;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.lifecycle.ServiceException;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.Hello;
import org.cranberrybend.wire.generated.MemberUpdates;
import org.cranberrybend.wire.node.PeerNode;
import org.cranberrybend.wire.node.PeerNodeSettings;
import org.cranberrybend.wire.node.WireConversions;

/**
 * Costs of membership: of real nodes over loopback, of the member table alone at larger sizes, and, for comparison, of
 * all-to-all heartbeats.
 */
final class MembershipGroup implements CapacityGroup {
    private static final int[] NODES = {4, 8, 16, 32};
    private static final int[] TABLE_SIZES = {32, 211, 600, 1_200, 2_400};
    private static final long JOIN_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(20);
    /** Time for gossip about a joining member to end, with 16 updates in each of 4 messages per second. */
    private static final long SETTLE_MS_PER_MEMBER = 400;

    private static final long SETTLE_MS = 2_000;
    /** One period of the exchange of full member lists. */
    private static final long MEASURE_MS = 10_000;

    private static final int UPDATES_PER_MESSAGE = 16;

    private final Series nodeCpu = new Series("CPU per member, real nodes", "members", "us/s");
    private final Series nodeBytes = new Series("bytes sent per member, real nodes", "members", "bytes/s");
    private final Series tickCpu = new Series("CPU of one tick of the member table", "members", "us");
    private final Series listBytes = new Series("frame with the whole member list", "members", "bytes");
    private final Series gossipBytes =
            new Series("bytes that one member passes on per membership change", "log2(members)", "bytes");
    private final Series heartbeatBytes =
            new Series("all-to-all heartbeats at the probe period, bytes sent per member", "members", "bytes/s");

    @Override
    public String name() {
        return "membership";
    }

    @Override
    public List<SlopeMeasurement> measure() throws ServiceException, InterruptedException {
        for (int nodes : NODES) {
            measureNodes(nodes);
        }
        for (int members : TABLE_SIZES) {
            measureTable(members);
        }
        return List.of(
                nodeCpu.toMeasurement(),
                nodeBytes.toMeasurement(),
                tickCpu.toMeasurement(),
                listBytes.toMeasurement(),
                gossipBytes.toMeasurement(),
                heartbeatBytes.toMeasurement());
    }

    private void measureNodes(int count) throws ServiceException, InterruptedException {
        List<PeerNode> nodes = new ArrayList<>();
        List<MetricRegistry> registries = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                MetricRegistry metrics = new MetricRegistry();
                List<String> seeds = nodes.isEmpty()
                        ? List.of()
                        : List.of(nodes.get(0).self().peerAddress());
                PeerNode node = node("entry-" + i, seeds, metrics);
                nodes.add(node);
                registries.add(metrics);
                node.start();
            }
            awaitAll(nodes);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS + count * SETTLE_MS_PER_MEMBER);
            double startCpuS = ResourceMeter.processCpuS();
            long startBytes = bytesSent(registries);
            long startNs = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(MEASURE_MS);
            double elapsedS = (System.nanoTime() - startNs) / 1e9;
            nodeCpu.add(count, (ResourceMeter.processCpuS() - startCpuS) * 1e6 / elapsedS / count);
            nodeBytes.add(count, (bytesSent(registries) - startBytes) / elapsedS / count);
        } finally {
            nodes.forEach(PeerNode::stop);
        }
    }

    private static PeerNode node(String instance, List<String> seeds, MetricRegistry metrics) {
        ProcessIdentity identity =
                new ProcessIdentity(instance, "router", System.currentTimeMillis(), "szeged-a", "alfold");
        EventLog eventLog = new EventLog(identity, new HybridClock(TimeSource.system()));
        PeerNodeSettings settings = new PeerNodeSettings(identity, "127.0.0.1", 0, "127.0.0.1:1", seeds);
        return new PeerNode(settings, eventLog, metrics, TimeSource.system());
    }

    private static void awaitAll(List<PeerNode> nodes) throws InterruptedException {
        long startNs = System.nanoTime();
        while (nodes.stream().anyMatch(node -> node.members().size() < nodes.size())) {
            if (System.nanoTime() - startNs > JOIN_TIMEOUT_NS) {
                throw new IllegalStateException(nodes.size() + " nodes did not discover each other in time");
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private static long bytesSent(List<MetricRegistry> registries) {
        return registries.stream()
                .flatMap(registry ->
                        registry.getCounters((name, metric) -> name.startsWith("peer_bytes_sent")).values().stream())
                .mapToLong(counter -> counter.getCount())
                .sum();
    }

    private void measureTable(int size) {
        List<Member> members = FleetFixture.members(size, 1, "router");
        MembershipTable table = new MembershipTable(members.get(0), MembershipSettings.DEFAULT, 0);
        members.forEach(member -> table.apply(member, 0));
        tickCpu.add(size, ResourceMeter.medianCpuUs(() -> {
            table.tick(0);
            table.snapshot();
        }));
        MemberUpdates list = MemberUpdates.newBuilder()
                .addAllMembers(table.all().stream().map(WireConversions::toWire).toList())
                .build();
        listBytes.add(size, Frames.bytes(Envelope.newBuilder().setMemberUpdates(list)));
        gossipBytes.add(Math.log(size) / Math.log(2), gossipBytes(table, members));
        int heartbeat = Frames.bytes(
                Envelope.newBuilder().setHello(Hello.newBuilder().setSelf(WireConversions.toWire(members.get(0)))));
        heartbeatBytes.add(size, 2.0 * heartbeat * (size - 1));
    }

    /** Discards pending updates, then returns the bytes of all updates that the table passes on for one change. */
    private static long gossipBytes(MembershipTable table, List<Member> members) {
        String receiver = members.get(1).id();
        while (!table.updatesFor(receiver, UPDATES_PER_MESSAGE).isEmpty()) {
            continue;
        }
        table.apply(members.get(2).withState(MemberState.LEAVING), 0);
        long bytes = 0;
        List<Member> updates = table.updatesFor(receiver, UPDATES_PER_MESSAGE);
        while (!updates.isEmpty()) {
            for (Member update : updates) {
                // Plus the tag and the length of the repeated field.
                bytes += WireConversions.toWire(update).getSerializedSize() + 2;
            }
            updates = table.updatesFor(receiver, UPDATES_PER_MESSAGE);
        }
        return bytes;
    }
}
