package org.cranberrybend.router.meter;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.usage.UsageCounters;
import org.cranberrybend.core.usage.UsageKey;
import org.cranberrybend.core.usage.UsageTotals;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.UsageCounter;
import org.cranberrybend.wire.generated.UsageFlush;
import org.cranberrybend.wire.generated.UsageWindowCounters;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.transport.PeerMessenger;

/**
 * Sends the usage counters to two controllers of the zone each second.
 *
 * <p>Counters are cumulative, so a repeated or delayed flush is harmless. A receiver is identified by member and
 * incarnation: a restarted controller has lost its counters and is sent all retained windows again.
 */
public final class UsageFlusher implements Service {
    private static final long FLUSH_INTERVAL_MS = 1_000;
    private static final long ACK_TIMEOUT_MS = 2_000;
    private static final String CONTROLLER = "controller";

    private final UsageMeter meter;
    private final MemberDirectory members;
    private final PeerMessenger messenger;
    private ScheduledExecutorService scheduler;

    /** Creates a flusher that selects the receivers among the members known to this process. */
    public UsageFlusher(UsageMeter meter, MemberDirectory members, PeerMessenger messenger) {
        this.meter = meter;
        this.members = members;
        this.messenger = messenger;
    }

    @Override
    public synchronized void start() {
        scheduler = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "usage-flush"));
        scheduler.scheduleWithFixedDelay(this::flush, FLUSH_INTERVAL_MS, FLUSH_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Sends the pending usage; the result completes when each receiver has acknowledged it or failed. */
    public CompletableFuture<Void> flush() {
        List<CompletableFuture<?>> sent = new ArrayList<>();
        for (Member controller : receivers()) {
            sent.add(flushTo(controller));
        }
        return CompletableFuture.allOf(sent.toArray(CompletableFuture[]::new)).handle((ignored, failure) -> {
            meter.evictAcknowledged();
            return null;
        });
    }

    /**
     * Returns the first two controllers of the zone by identifier, so that all routers of the zone select the same two.
     */
    private List<Member> receivers() {
        String zone = members.self().identity().zone();
        return members.members().stream()
                .filter(each -> each.identity().role().equals(CONTROLLER)
                        && each.identity().zone().equals(zone)
                        && each.state() != MemberState.LEAVING)
                .limit(UsageCounters.MIN_ACKNOWLEDGEMENTS)
                .toList();
    }

    private CompletableFuture<?> flushTo(Member controller) {
        String receiver = controller.id() + "@" + controller.identity().incarnation();
        List<UsageCounters.Snapshot> pending = meter.pendingFor(receiver);
        if (pending.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        UsageFlush.Builder flush = UsageFlush.newBuilder();
        pending.forEach(snapshot -> flush.addWindows(toMessage(snapshot)));
        Envelope.Builder message = Envelope.newBuilder().setUsageFlush(flush);
        return messenger
                .request(controller.peerAddress(), message, ACK_TIMEOUT_MS)
                .thenAccept(reply -> {
                    Set<Long> acknowledged = new HashSet<>(reply.getUsageAck().getWindowStartMsList());
                    pending.stream()
                            .filter(snapshot -> acknowledged.contains(snapshot.startMs()))
                            .forEach(snapshot -> meter.acknowledge(receiver, snapshot));
                });
    }

    private static UsageWindowCounters toMessage(UsageCounters.Snapshot snapshot) {
        UsageWindowCounters.Builder window = UsageWindowCounters.newBuilder().setWindowStartMs(snapshot.startMs());
        for (Map.Entry<UsageKey, UsageTotals> entry : snapshot.totals().entrySet()) {
            window.addCounters(UsageCounter.newBuilder()
                    .setClientAccount(entry.getKey().clientAccount())
                    .setClassName(entry.getKey().className())
                    .setService(entry.getKey().service())
                    .setRequests(entry.getValue().requests())
                    .setPromptTokens(entry.getValue().promptTokens())
                    .setOutputTokens(entry.getValue().outputTokens()));
        }
        return window.build();
    }

    /** Flushes a last time and waits for the acknowledgements. */
    @Override
    public synchronized void stop() {
        if (scheduler == null) {
            return;
        }
        scheduler.shutdownNow();
        scheduler = null;
        flush().orTimeout(2 * ACK_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .exceptionally(failure -> null)
                .join();
    }
}
