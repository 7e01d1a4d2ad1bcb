package org.cranberrybend.controller.scaling;

import java.util.HashMap;
import java.util.Map;
import org.cranberrybend.wire.generated.DemandReport;
import org.cranberrybend.wire.generated.PoolDemand;
import org.cranberrybend.wire.generated.TierDemand;

/**
 * The latest report of one router incarnation, and the rates that follow from it and the one used before.
 *
 * <p>Rates are differences of cumulative counters over the time between the two reports, so a lost report only makes the
 * interval longer. Not safe for use by several threads.
 */
final class RouterDemand {
    private static final int UPPER_TIERS = 2;

    private final long incarnation;
    private DemandReport latest;
    private long latestMs;
    private Map<String, PoolDemand> usedPools;
    private long usedMs;
    private final Map<String, Rates> rates = new HashMap<>();

    /**
     * What one router measured for one pool between two reports.
     *
     * @param upperTokensPerSecond tokens offered in tiers 0 and 1
     * @param totalTokensPerSecond tokens offered in all tiers
     * @param servedTokens tokens served in the interval
     * @param servedExpectedTokens tokens that were expected of the same requests
     * @param servedSlotMs time for which these requests held their slots
     */
    record Rates(
            double upperTokensPerSecond,
            double totalTokensPerSecond,
            long servedTokens,
            long servedExpectedTokens,
            long servedSlotMs) {}

    /** The first report is the base of later ones: its counters cover an unknown time. */
    RouterDemand(long incarnation, DemandReport first, long receivedMs) {
        this.incarnation = incarnation;
        this.latest = first;
        this.latestMs = receivedMs;
        this.usedPools = byService(first);
        this.usedMs = receivedMs;
    }

    long incarnation() {
        return incarnation;
    }

    long latestMs() {
        return latestMs;
    }

    DemandReport latest() {
        return latest;
    }

    /** Takes over a report unless it is a repeated or an older one. */
    void receive(DemandReport report, long receivedMs) {
        if (report.getSequence() > latest.getSequence()) {
            latest = report;
            latestMs = receivedMs;
        }
    }

    /** Computes the rates since the last call; without a new report they stay, and what was served is not repeated. */
    Map<String, Rates> advance() {
        long intervalMs = latestMs - usedMs;
        if (intervalMs <= 0) {
            rates.replaceAll(
                    (service, old) -> new Rates(old.upperTokensPerSecond(), old.totalTokensPerSecond(), 0, 0, 0));
            return rates;
        }
        Map<String, PoolDemand> pools = byService(latest);
        rates.clear();
        pools.forEach((service, pool) -> rates.put(service, between(usedPools.get(service), pool, intervalMs)));
        // A pool whose shards moved away keeps its counters at the router and may come back.
        usedPools.forEach(pools::putIfAbsent);
        usedPools = pools;
        usedMs = latestMs;
        return rates;
    }

    private static Rates between(PoolDemand before, PoolDemand after, long intervalMs) {
        PoolDemand base = before == null ? PoolDemand.getDefaultInstance() : before;
        double seconds = intervalMs / 1_000.0;
        long total = difference(offered(base, Integer.MAX_VALUE), offered(after, Integer.MAX_VALUE));
        long upper = Math.min(total, difference(offered(base, UPPER_TIERS), offered(after, UPPER_TIERS)));
        return new Rates(
                upper / seconds,
                total / seconds,
                difference(base.getServedTokens(), after.getServedTokens()),
                difference(base.getServedExpectedTokens(), after.getServedExpectedTokens()),
                difference(base.getServedSlotMs(), after.getServedSlotMs()));
    }

    private static long difference(long before, long after) {
        return Math.max(0, after - before);
    }

    private static long offered(PoolDemand pool, int belowTier) {
        return pool.getTiersList().stream()
                .filter(tier -> tier.getTier() < belowTier)
                .mapToLong(TierDemand::getOfferedTokens)
                .sum();
    }

    /** Returns the tokens that wait in the upper tiers, or in all. */
    static long waitingTokens(PoolDemand pool, boolean upperOnly) {
        return pool.getTiersList().stream()
                .filter(tier -> !upperOnly || tier.getTier() < UPPER_TIERS)
                .mapToLong(TierDemand::getWaitingTokens)
                .sum();
    }

    static Map<String, PoolDemand> byService(DemandReport report) {
        Map<String, PoolDemand> pools = new HashMap<>();
        report.getPoolsList().forEach(pool -> pools.put(pool.getService(), pool));
        return pools;
    }
}
