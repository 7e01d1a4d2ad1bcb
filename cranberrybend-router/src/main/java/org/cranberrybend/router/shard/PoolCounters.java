package org.cranberrybend.router.shard;

import org.cranberrybend.core.account.Tier;

/**
 * Demand for one pool as counted by this router since its start.
 *
 * <p>The counters outlive the shards, because a controller computes rates from their differences. Not safe for use by
 * several threads; {@link ShardOwner} holds its lock around each call.
 */
final class PoolCounters {
    private final long[] offeredTokens = new long[Tier.values().length];
    private long servedTokens;
    private long servedExpectedTokens;
    private long servedSlotMs;

    /** Counts a request that was offered for the first time. */
    void offered(Tier tier, long expectedTokens) {
        offeredTokens[tier.number()] += expectedTokens;
    }

    /** Counts a request that ended, with the tokens it was expected to take and the time that it held its slot. */
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
