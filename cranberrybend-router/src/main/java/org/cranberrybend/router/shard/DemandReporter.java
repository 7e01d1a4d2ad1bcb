package org.cranberrybend.router.shard;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.wire.generated.DemandAck;
import org.cranberrybend.wire.generated.DemandReport;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.node.ControllerRanks;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.transport.PeerMessenger;

/**
 * Reports this router's demand to the zone's two order controllers each second, and applies the draining upstreams that
 * the holder of the order lease names in its answer.
 *
 * <p>A router without shards reports as well: a controller knows the demand of the zone, and that an upstream has no
 * request left, only after it heard from every router.
 *
 * <p>Edge cases: an answer of an earlier lease or an earlier version is ignored. Without an answer of a holder the
 * draining upstreams are used again after {@link #DRAIN_EXPIRY_MS}; they are no longer reported as draining well before,
 * so that no stop order relies on a drain that has ended.
 */
final class DemandReporter implements Service {
    private static final long INTERVAL_MS = 1_000;
    private static final long TIMEOUT_MS = 2_000;
    // The difference must exceed the 5 s for which a controller relies on a report.
    private static final long DRAIN_REPORTED_MS = 10_000;
    private static final long DRAIN_EXPIRY_MS = 20_000;

    private final MemberDirectory members;
    private final PeerMessenger messenger;
    private final ShardOwner owner;
    private final TimeSource timeSource;
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(new ThreadFactoryBuilder()
                    .setNameFormat("demand-report")
                    .setDaemon(true)
                    .build());
    /** Used on the reporter's thread only, as is the count of reports. */
    private Drain drain = Drain.NONE;

    private long lastSequence;

    /** What the last holder asked for, and when it was last heard. */
    private record Drain(long fencingNumber, long version, Set<String> upstreamIds, long heardMs) {
        private static final Drain NONE = new Drain(0, 0, Set.of(), 0);

        boolean isReplacedBy(DemandAck ack) {
            return ack.getFencingNumber() > fencingNumber
                    || (ack.getFencingNumber() == fencingNumber && ack.getVersion() >= version);
        }
    }

    DemandReporter(MemberDirectory members, PeerMessenger messenger, ShardOwner owner, TimeSource timeSource) {
        this.members = members;
        this.messenger = messenger;
        this.owner = owner;
        this.timeSource = timeSource;
    }

    @Override
    public void start() {
        thread.scheduleWithFixedDelay(this::send, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        thread.shutdownNow();
    }

    /** Reports once; the result completes when each order controller was heard or failed. */
    CompletableFuture<Void> report() {
        return CompletableFuture.supplyAsync(this::send, thread).thenCompose(sent -> sent);
    }

    private CompletableFuture<Void> send() {
        expireDrain();
        DemandReport report = next();
        List<CompletableFuture<?>> answers = new ArrayList<>();
        for (Member controller :
                ControllerRanks.active(members.self().identity().zone(), members.members())) {
            Envelope.Builder message = Envelope.newBuilder().setDemandReport(report);
            answers.add(messenger
                    .request(controller.peerAddress(), message, TIMEOUT_MS)
                    .thenAcceptAsync(answer -> apply(answer.getDemandAck()), thread)
                    .exceptionally(unreachable -> null));
        }
        return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]));
    }

    private DemandReport next() {
        DemandReport.Builder report = DemandReport.newBuilder().setSequence(++lastSequence);
        if (timeSource.monotonicMs() - drain.heardMs() < DRAIN_REPORTED_MS) {
            report.setDrainFencingNumber(drain.fencingNumber())
                    .setDrainVersion(drain.version())
                    .addAllBusyDrainingUpstreams(owner.busyAmong(drain.upstreamIds()));
        }
        return report.addAllPools(owner.demand()).build();
    }

    private void apply(DemandAck ack) {
        if (ack.getFencingNumber() == 0 || !drain.isReplacedBy(ack)) {
            return;
        }
        Set<String> upstreamIds = Set.copyOf(ack.getDrainingUpstreamsList());
        if (!drain.upstreamIds().equals(upstreamIds)) {
            owner.drain(upstreamIds);
        }
        drain = new Drain(ack.getFencingNumber(), ack.getVersion(), upstreamIds, timeSource.monotonicMs());
    }

    private void expireDrain() {
        if (!drain.upstreamIds().isEmpty() && timeSource.monotonicMs() - drain.heardMs() >= DRAIN_EXPIRY_MS) {
            drain = Drain.NONE;
            owner.drain(Set.of());
        }
    }
}
