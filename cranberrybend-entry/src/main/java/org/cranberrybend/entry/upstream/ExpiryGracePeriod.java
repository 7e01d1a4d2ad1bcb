package org.cranberrybend.entry.upstream;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Decides for how long upstreams are kept whose entries expired in an outage of the store. Confined to the event loop.
 *
 * <p>Upstreams cannot renew their entries while the store is unavailable, and write them again within about two seconds
 * after its return. Outages in quick succession count as one, since upstreams may not have reached the store in
 * between; each return of the store then begins a new grace period.
 */
final class ExpiryGracePeriod {
    /** Length of an outage from which entries may have expired: three missed heartbeats of an upstream. */
    private static final long EXPIRY_OUTAGE_MS = 3_000;
    /** Time after the store's return for which an upstream with an expired entry is kept. */
    private static final long GRACE_MS = 2_200;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Monotonic time until which an upstream without an entry is kept. */
    private final Map<String, Long> keptUntilMs = new TreeMap<>();

    private long firstOutageStartMs = NEVER;
    private long lastReturnMs = NEVER;
    private long endMs = NEVER;

    /** Records the return of the store; returns whether entries may have expired before it. */
    boolean onStoreReturn(long outageMs, long nowMs) {
        long outageStartMs = nowMs - outageMs;
        if (outageStartMs - lastReturnMs > GRACE_MS) {
            firstOutageStartMs = outageStartMs;
        }
        lastReturnMs = nowMs;
        if (nowMs - firstOutageStartMs < EXPIRY_OUTAGE_MS) {
            return false;
        }
        endMs = nowMs + GRACE_MS;
        keptUntilMs.replaceAll((id, untilMs) -> endMs);
        return true;
    }

    /** Returns whether an upstream is kept whose entry is missing, because the entry may have expired in an outage. */
    boolean tryKeep(String id, long nowMs) {
        if (nowMs >= endMs) {
            return false;
        }
        keptUntilMs.put(id, endMs);
        return true;
    }

    /**
     * Returns whether an upstream is kept whose entry is missing at a peer while the store is unavailable here. Its grace
     * period begins when the entry is missing for the first time.
     *
     * @param outageMs time without a response of the store so far
     */
    boolean tryKeepWithoutStore(String id, long outageMs, long nowMs) {
        if (outageMs < EXPIRY_OUTAGE_MS) {
            return false;
        }
        return nowMs < keptUntilMs.computeIfAbsent(id, missing -> nowMs + GRACE_MS);
    }

    /** Ends the grace period of an upstream whose entry was written again, or which was removed. */
    void remove(String id) {
        keptUntilMs.remove(id);
    }

    /** Returns the upstreams whose grace period has ended. */
    List<String> endedAt(long nowMs) {
        return keptUntilMs.entrySet().stream()
                .filter(entry -> entry.getValue() <= nowMs)
                .map(Map.Entry::getKey)
                .collect(Collectors.toList());
    }
}
