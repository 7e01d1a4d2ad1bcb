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
 * Reports this router's demand to the zone's two active controllers each second, and drains the upstreams that the
 * lease holder of the zone's orders lists in its reply.
 *
 * <p>A router without shards reports too: a controller can determine the demand of the zone, and that an upstream has
 * no in-flight requests, only after every router has reported.
 *
 * <p>Edge cases: a reply of an earlier lease or an earlier version is ignored. Without a reply of the lease holder, the
 * drain expires after {@link #DRAIN_EXPIRY_MS}. It is reported for {@link #DRAIN_REPORT_MAX_AGE_MS} only, so that no
 * stop order relies on a drain that has expired.
 */
final class DemandReporter implements Service {
    private static final long REPORT_INTERVAL_MS = 1_000;
    private static final long REPLY_TIMEOUT_MS = 2_000;
    // DRAIN_EXPIRY_MS must exceed this by more than the 5 s for which a controller relies on a report.
    private static final long DRAIN_REPORT_MAX_AGE_MS = 10_000;
    private static final long DRAIN_EXPIRY_MS = 20_000;

    private final MemberDirectory members;
    private final PeerMessenger messenger;
    private final ShardOwner owner;
    private final TimeSource timeSource;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(new ThreadFactoryBuilder()
                    .setNameFormat("demand-report")
                    .setDaemon(true)
                    .build());
    /** Accessed on the reporter's thread only, like {@code lastSequence}. */
    private Drain drain = Drain.NONE;

    private long lastSequence;

    /** Drain requested by the last known lease holder, and when its last reply was received. */
    private record Drain(long fencingNumber, long version, Set<String> upstreamIds, long receivedMs) {
        private static final Drain NONE = new Drain(0, 0, Set.of(), 0);

        boolean isSupersededBy(DemandAck ack) {
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
        executor.scheduleWithFixedDelay(this::send, REPORT_INTERVAL_MS, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        executor.shutdownNow();
    }

    /** Reports once; the result completes when each controller has replied or failed. */
    CompletableFuture<Void> report() {
        return CompletableFuture.supplyAsync(this::send, executor).thenCompose(sent -> sent);
    }

    private CompletableFuture<Void> send() {
        expireDrain();
        DemandReport report = buildReport();
        List<CompletableFuture<?>> replies = new ArrayList<>();
        for (Member controller :
                ControllerRanks.active(members.self().identity().zone(), members.members())) {
            Envelope.Builder message = Envelope.newBuilder().setDemandReport(report);
            replies.add(messenger
                    .request(controller.peerAddress(), message, REPLY_TIMEOUT_MS)
                    .thenAcceptAsync(reply -> apply(reply.getDemandAck()), executor)
                    .exceptionally(unreachable -> null));
        }
        return CompletableFuture.allOf(replies.toArray(new CompletableFuture<?>[0]));
    }

    private DemandReport buildReport() {
        DemandReport.Builder report = DemandReport.newBuilder().setSequence(++lastSequence);
        if (timeSource.monotonicMs() - drain.receivedMs() < DRAIN_REPORT_MAX_AGE_MS) {
            report.setDrainFencingNumber(drain.fencingNumber())
                    .setDrainVersion(drain.version())
                    .addAllBusyDrainingUpstreams(owner.upstreamsInUse(drain.upstreamIds()));
        }
        return report.addAllPools(owner.demand()).build();
    }

    private void apply(DemandAck ack) {
        if (ack.getFencingNumber() == 0 || !drain.isSupersededBy(ack)) {
            return;
        }
        Set<String> upstreamIds = Set.copyOf(ack.getDrainingUpstreamsList());
        if (!drain.upstreamIds().equals(upstreamIds)) {
            owner.drain(upstreamIds);
        }
        drain = new Drain(ack.getFencingNumber(), ack.getVersion(), upstreamIds, timeSource.monotonicMs());
    }

    private void expireDrain() {
        if (!drain.upstreamIds().isEmpty() && timeSource.monotonicMs() - drain.receivedMs() >= DRAIN_EXPIRY_MS) {
            drain = Drain.NONE;
            owner.drain(Set.of());
        }
    }
}
