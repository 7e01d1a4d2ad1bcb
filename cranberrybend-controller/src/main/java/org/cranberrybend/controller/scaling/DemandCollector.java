package org.cranberrybend.controller.scaling;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.scaling.DemandEstimate;
import org.cranberrybend.wire.generated.DemandReport;
import org.cranberrybend.wire.generated.PoolDemand;

/**
 * Aggregates the demand reports of the routers of a zone into one estimate per model.
 *
 * <p>Edge cases: reports are tracked per router incarnation, because the counters of a restarted router start at zero
 * again. Routers that have left or no longer report are excluded. After {@link #reset} the demand is unknown until
 * every live router has reported once. While a live router does not report, the estimate may rise but not fall, because
 * the router's demand continues to exist.
 *
 * <p>Thread-safe. Times are milliseconds on the monotonic clock of this process.
 */
public final class DemandCollector {
    /** Time after which a router without a new report is excluded from the estimate. */
    static final long REPORT_TIMEOUT_MS = 5_000;

    private static final String ROUTER_ROLE = "router";

    private final String zone;
    private final long smoothingMs;
    private final Map<String, RouterDemand> routers = new HashMap<>();
    private final Map<String, PoolStatistics> pools = new HashMap<>();
    private long lastObservedMs = Long.MIN_VALUE;
    /** Incarnations of the routers that have reported since the last reset, by member identifier. */
    private final Map<String, Long> reportedIncarnations = new HashMap<>();

    private boolean demandKnown;

    /** Creates a collector for a zone; {@code smoothingMs} is the time constant of the estimates. */
    public DemandCollector(String zone, long smoothingMs) {
        this.zone = zone;
        this.smoothingMs = smoothingMs;
    }

    /** Discards all reports and estimates. Must be called when this process acquires the order lease. */
    public synchronized void reset() {
        routers.clear();
        pools.clear();
        reportedIncarnations.clear();
        demandKnown = false;
        lastObservedMs = Long.MIN_VALUE;
    }

    /** Records a report, unless it is of an earlier incarnation of the router. */
    public synchronized void receive(String router, long incarnation, DemandReport report, long nowMs) {
        RouterDemand demand = routers.get(router);
        if (demand != null && demand.incarnation() > incarnation) {
            return;
        }
        reportedIncarnations.put(router, incarnation);
        if (demand == null || demand.incarnation() < incarnation) {
            routers.put(router, new RouterDemand(incarnation, report, nowMs));
        } else {
            demand.update(report, nowMs);
        }
    }

    /** Updates the estimates. Must be called before they are read. */
    public synchronized void observe(Collection<Member> members, long nowMs) {
        Map<String, Long> live = liveRouters(members);
        routers.keySet().retainAll(live.keySet());
        demandKnown |= live.entrySet().stream()
                .allMatch(each -> reportedIncarnations.getOrDefault(each.getKey(), Long.MIN_VALUE) >= each.getValue());
        long intervalMs = lastObservedMs == Long.MIN_VALUE ? 0 : nowMs - lastObservedMs;
        if (intervalMs <= 0 && lastObservedMs != Long.MIN_VALUE) {
            return;
        }
        boolean complete = isComplete(members, nowMs);
        Map<String, Sample> samples = new HashMap<>();
        for (RouterDemand router : routers.values()) {
            Map<String, RouterDemand.Rates> rates = router.updateRates();
            if (isSilent(router, nowMs)) {
                continue;
            }
            rates.forEach((service, rate) ->
                    samples.computeIfAbsent(service, key -> new Sample()).add(rate));
            RouterDemand.byService(router.latest())
                    .forEach((service, pool) -> samples.computeIfAbsent(service, key -> new Sample())
                            .addWaiting(pool));
        }
        Set<String> services = new HashSet<>(pools.keySet());
        services.addAll(samples.keySet());
        for (String service : services) {
            PoolStatistics old = pools.getOrDefault(service, PoolStatistics.NONE);
            Sample sample = samples.getOrDefault(service, new Sample());
            pools.put(service, sample.mergeInto(old, Math.max(1, intervalMs), smoothingMs, complete));
        }
        lastObservedMs = nowMs;
    }

    /** Returns whether every live router has reported since the last reset. */
    public synchronized boolean isDemandKnown() {
        return demandKnown;
    }

    /** Returns whether demand is known and the latest report of every live router is recent. */
    public synchronized boolean isComplete(Collection<Member> members, long nowMs) {
        return demandKnown
                && liveRouters(members).entrySet().stream().allMatch(each -> {
                    RouterDemand router = routers.get(each.getKey());
                    return router != null && router.incarnation() >= each.getValue() && !isSilent(router, nowMs);
                });
    }

    /** Returns the statistics of one model. */
    synchronized PoolStatistics pool(String service) {
        return pools.getOrDefault(service, PoolStatistics.NONE);
    }

    /** Returns whether every live router has applied the current drain of an upstream and holds no slot on it. */
    synchronized boolean isDrained(String upstreamId, DrainState state, Collection<Member> members, long nowMs) {
        DrainState.Drain drain = state.drains().get(upstreamId);
        return drain != null
                && isComplete(members, nowMs)
                && liveRouters(members).keySet().stream().allMatch(each -> {
                    DemandReport report = routers.get(each).latest();
                    return report.getDrainFencingNumber() == state.fencingNumber()
                            && report.getDrainVersion() >= drain.version()
                            && !report.getBusyDrainingUpstreamsList().contains(upstreamId);
                });
    }

    private static boolean isSilent(RouterDemand router, long nowMs) {
        return nowMs - router.latestMs() > REPORT_TIMEOUT_MS;
    }

    /** Returns the incarnations of the zone's routers. A leaving router still executes requests and reports demand. */
    private Map<String, Long> liveRouters(Collection<Member> members) {
        Map<String, Long> live = new HashMap<>();
        for (Member member : members) {
            if (member.identity().role().equals(ROUTER_ROLE)
                    && member.identity().zone().equals(zone)
                    && member.state() != MemberState.DEAD) {
                live.put(member.id(), member.identity().incarnation());
            }
        }
        return live;
    }

    /** Sums of the reports of all routers for one model. */
    private static final class Sample {
        private double upperTokensPerSecond;
        private double totalTokensPerSecond;
        private long upperWaitingTokens;
        private long totalWaitingTokens;
        private long servedTokens;
        private long servedExpectedTokens;
        private long servedSlotMs;

        void add(RouterDemand.Rates rates) {
            upperTokensPerSecond += rates.upperTokensPerSecond();
            totalTokensPerSecond += rates.totalTokensPerSecond();
            servedTokens += rates.servedTokens();
            servedExpectedTokens += rates.servedExpectedTokens();
            servedSlotMs += rates.servedSlotMs();
        }

        void addWaiting(PoolDemand pool) {
            upperWaitingTokens += RouterDemand.waitingTokens(pool, true);
            totalWaitingTokens += RouterDemand.waitingTokens(pool, false);
        }

        PoolStatistics mergeInto(PoolStatistics old, long intervalMs, long smoothingMs, boolean complete) {
            DemandEstimate observed = old.estimate()
                    .observe(
                            Math.round(upperTokensPerSecond * intervalMs / 1_000),
                            Math.round(totalTokensPerSecond * intervalMs / 1_000),
                            upperWaitingTokens,
                            totalWaitingTokens,
                            intervalMs,
                            smoothingMs);
            DemandEstimate estimate = complete ? observed : max(old.estimate(), observed);
            // The sums do not decay while nothing is served, so that the last measurement remains available.
            double decay = servedSlotMs == 0 ? 1 : Math.exp(-intervalMs / (double) smoothingMs);
            return new PoolStatistics(
                    estimate,
                    old.servedTokens() * decay + servedTokens,
                    old.servedExpectedTokens() * decay + servedExpectedTokens,
                    old.servedSlotMs() * decay + servedSlotMs);
        }

        private static DemandEstimate max(DemandEstimate left, DemandEstimate right) {
            return new DemandEstimate(
                    Math.max(left.upperTokensPerSecond(), right.upperTokensPerSecond()),
                    Math.max(left.totalTokensPerSecond(), right.totalTokensPerSecond()),
                    Math.max(left.upperQueuedTokens(), right.upperQueuedTokens()),
                    Math.max(left.totalQueuedTokens(), right.totalQueuedTokens()));
        }
    }
}
