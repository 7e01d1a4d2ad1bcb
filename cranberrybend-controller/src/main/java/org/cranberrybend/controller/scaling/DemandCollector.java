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
 * Merges the demand reports of the zone's routers.
 *
 * <p>Edge cases: reports are kept per router incarnation, so a restarted router does not count backwards; a router that is
 * gone or silent is left out; after {@link #takeOver} demand is not known until every live router has reported once;
 * while a live router is silent the estimate may rise but not fall, because its demand is only not seen.
 *
 * <p>Safe for use by several threads. Times are milliseconds on this process's monotonic clock.
 */
public final class DemandCollector {
    /** Time after the last report from which a router is left out. */
    static final long SILENT_MS = 5_000;

    private static final String ROUTER_ROLE = "router";

    private final String zone;
    private final long smoothingMs;
    private final Map<String, RouterDemand> routers = new HashMap<>();
    private final Map<String, PoolMeasure> pools = new HashMap<>();
    private long observedMs = Long.MIN_VALUE;
    /** Routers that have reported since the take-over, with their incarnation. */
    private final Map<String, Long> heard = new HashMap<>();

    private boolean known;

    /** Creates a collector for a zone; {@code smoothingMs} is the time constant of the estimates. */
    public DemandCollector(String zone, long smoothingMs) {
        this.zone = zone;
        this.smoothingMs = smoothingMs;
    }

    /** Forgets all reports and estimates; to be called when this process became the holder of the order lease. */
    public synchronized void takeOver() {
        routers.clear();
        pools.clear();
        heard.clear();
        known = false;
        observedMs = Long.MIN_VALUE;
    }

    /** Takes over a report. */
    public synchronized void receive(String router, long incarnation, DemandReport report, long nowMs) {
        RouterDemand demand = routers.get(router);
        if (demand != null && demand.incarnation() > incarnation) {
            return;
        }
        heard.put(router, incarnation);
        if (demand == null || demand.incarnation() < incarnation) {
            routers.put(router, new RouterDemand(incarnation, report, nowMs));
        } else {
            demand.receive(report, nowMs);
        }
    }

    /** Brings the estimates up to date; to be called before they are read. */
    public synchronized void observe(Collection<Member> members, long nowMs) {
        Map<String, Long> live = liveRouters(members);
        routers.keySet().retainAll(live.keySet());
        known |= live.entrySet().stream()
                .allMatch(each -> heard.getOrDefault(each.getKey(), Long.MIN_VALUE) >= each.getValue());
        long intervalMs = observedMs == Long.MIN_VALUE ? 0 : nowMs - observedMs;
        if (intervalMs <= 0 && observedMs != Long.MIN_VALUE) {
            return;
        }
        boolean complete = isComplete(members, nowMs);
        Map<String, Sample> samples = new HashMap<>();
        for (RouterDemand router : routers.values()) {
            Map<String, RouterDemand.Rates> rates = router.advance();
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
            PoolMeasure old = pools.getOrDefault(service, PoolMeasure.NONE);
            Sample sample = samples.getOrDefault(service, new Sample());
            pools.put(service, sample.applyTo(old, Math.max(1, intervalMs), smoothingMs, complete));
        }
        observedMs = nowMs;
    }

    /** Returns whether every live router has reported since the take-over. */
    public synchronized boolean isKnown() {
        return known;
    }

    /** Returns whether demand is known and no live router is silent. */
    public synchronized boolean isComplete(Collection<Member> members, long nowMs) {
        return known
                && liveRouters(members).entrySet().stream().allMatch(each -> {
                    RouterDemand router = routers.get(each.getKey());
                    return router != null && router.incarnation() >= each.getValue() && !isSilent(router, nowMs);
                });
    }

    /** Returns the measure of one model. */
    synchronized PoolMeasure pool(String service) {
        return pools.getOrDefault(service, PoolMeasure.NONE);
    }

    /** Returns whether every live router has applied the present drain of an upstream and has no slot left on it. */
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
        return nowMs - router.latestMs() > SILENT_MS;
    }

    /** Returns the incarnations of the zone's routers; a leaving one still runs requests and reports them. */
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

    /** Sums over the routers for one model. */
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

        PoolMeasure applyTo(PoolMeasure old, long intervalMs, long smoothingMs, boolean complete) {
            DemandEstimate observed = old.estimate()
                    .observe(
                            Math.round(upperTokensPerSecond * intervalMs / 1_000),
                            Math.round(totalTokensPerSecond * intervalMs / 1_000),
                            upperWaitingTokens,
                            totalWaitingTokens,
                            intervalMs,
                            smoothingMs);
            DemandEstimate estimate = complete ? observed : larger(old.estimate(), observed);
            // What was measured last stays valid while nothing is served.
            double kept = servedSlotMs == 0 ? 1 : Math.exp(-intervalMs / (double) smoothingMs);
            return new PoolMeasure(
                    estimate,
                    old.servedTokens() * kept + servedTokens,
                    old.servedExpectedTokens() * kept + servedExpectedTokens,
                    old.servedSlotMs() * kept + servedSlotMs);
        }

        private static DemandEstimate larger(DemandEstimate left, DemandEstimate right) {
            return new DemandEstimate(
                    Math.max(left.upperTokensPerSecond(), right.upperTokensPerSecond()),
                    Math.max(left.totalTokensPerSecond(), right.totalTokensPerSecond()),
                    Math.max(left.upperQueuedTokens(), right.upperQueuedTokens()),
                    Math.max(left.totalQueuedTokens(), right.totalQueuedTokens()));
        }
    }
}
