package org.cranberrybend.router.shard;

import org.cranberrybend.core.account.Tier;

/**
 * Cumulative demand for one pool, counted by this router since it started.
 *
 * <p>The counters are kept when a shard moves to another owner, because controllers compute rates from the differences
 * between reports. Not thread-safe; {@link ShardOwner} calls it with its lock held.
 */
final class PoolCounters {
    private final long[] offeredTokens = new long[Tier.values().length];
    private long servedTokens;
    private long servedExpectedTokens;
    private long servedSlotMs;

    /** Counts a request at its first offer to the pool. */
    void offered(Tier tier, long expectedTokens) {
        offeredTokens[tier.number()] += expectedTokens;
    }

    /**
     * Counts a completed request: tokens processed, tokens estimated at admission, and the time its slot was in use.
     */
    void served(long tokens, long expectedTokens, long slotMs) {
        servedTokens += tokens;
        servedExpectedTokens += expectedTokens;
        servedSlotMs += slotMs;
    }

    long offeredTokens(Tier tier) {
        return offeredTokens[tier.number()];
    }

    long servedTokens() {
        return servedTokens;
    }

    long servedExpectedTokens() {
        return servedExpectedTokens;
    }

    long servedSlotMs() {
        return servedSlotMs;
    }
}
