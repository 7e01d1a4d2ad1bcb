package org.cranberrybend.controller.scaling;

import java.util.HashMap;
import java.util.Map;
import org.cranberrybend.wire.generated.DemandReport;
import org.cranberrybend.wire.generated.PoolDemand;
import org.cranberrybend.wire.generated.TierDemand;

/**
 * Latest demand report of one router incarnation, and the rates between it and the previously evaluated report.
 *
 * <p>Rates are differences of cumulative counters divided by the time between the two reports, so a lost report only
 * lengthens the interval. Not thread-safe.
 */
final class RouterDemand {
    private static final int UPPER_TIERS = 2;

    private final long incarnation;
    private DemandReport latest;
    private long latestMs;
    private Map<String, PoolDemand> basePools;
    private long baseMs;
    private final Map<String, Rates> rates = new HashMap<>();

    /**
     * Measurements of one router for one pool between two reports.
     *
     * @param upperTokensPerSecond tokens offered per second in tiers 0 and 1
     * @param totalTokensPerSecond tokens offered per second in all tiers
     * @param servedTokens tokens served in the interval
     * @param servedExpectedTokens tokens estimated for the same requests on arrival
     * @param servedSlotMs time that these requests held their slots, in milliseconds
     */
    record Rates(
            double upperTokensPerSecond,
            double totalTokensPerSecond,
            long servedTokens,
            long servedExpectedTokens,
            long servedSlotMs) {}

    /** Creates the state from the first report, which yields no rates because its counters cover an unknown time. */
    RouterDemand(long incarnation, DemandReport first, long receivedMs) {
        this.incarnation = incarnation;
        this.latest = first;
        this.latestMs = receivedMs;
        this.basePools = byService(first);
        this.baseMs = receivedMs;
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

    /** Replaces the latest report, unless the given one is a duplicate or older. */
    void update(DemandReport report, long receivedMs) {
        if (report.getSequence() > latest.getSequence()) {
            latest = report;
            latestMs = receivedMs;
        }
    }

    /**
     * Computes the rates since the last call. Without a new report the offered rates stay and the served amounts are
     * zero, so that they are not counted twice.
     */
    Map<String, Rates> updateRates() {
        long intervalMs = latestMs - baseMs;
        if (intervalMs <= 0) {
            rates.replaceAll(
                    (service, old) -> new Rates(old.upperTokensPerSecond(), old.totalTokensPerSecond(), 0, 0, 0));
            return rates;
        }
        Map<String, PoolDemand> pools = byService(latest);
        rates.clear();
        pools.forEach((service, pool) -> rates.put(service, ratesBetween(basePools.get(service), pool, intervalMs)));
        // A router keeps the counters of a pool whose shards have moved away, and may report the pool again.
        basePools.forEach(pools::putIfAbsent);
        basePools = pools;
        baseMs = latestMs;
        return rates;
    }

    private static Rates ratesBetween(PoolDemand before, PoolDemand after, long intervalMs) {
        PoolDemand base = before == null ? PoolDemand.getDefaultInstance() : before;
        double seconds = intervalMs / 1_000.0;
        long total = increase(offered(base, Integer.MAX_VALUE), offered(after, Integer.MAX_VALUE));
        long upper = Math.min(total, increase(offered(base, UPPER_TIERS), offered(after, UPPER_TIERS)));
        return new Rates(
                upper / seconds,
                total / seconds,
                increase(base.getServedTokens(), after.getServedTokens()),
                increase(base.getServedExpectedTokens(), after.getServedExpectedTokens()),
                increase(base.getServedSlotMs(), after.getServedSlotMs()));
    }

    private static long increase(long before, long after) {
        return Math.max(0, after - before);
    }

    private static long offered(PoolDemand pool, int tierLimit) {
        return pool.getTiersList().stream()
                .filter(tier -> tier.getTier() < tierLimit)
                .mapToLong(TierDemand::getOfferedTokens)
                .sum();
    }

    /** Returns the tokens of waiting requests in the upper tiers or in all tiers. */
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
