package org.cranberrybend.entry.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.quarantine.Quarantine;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.duty.FleetKeys;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreWrite;

/**
 * Lets only one request of the whole fleet probe a quarantine at a time, so that a prompt part which still crashes
 * upstreams costs one of them. The claim is a key that is created in the store under a lease and expires with it. While
 * the store is unavailable, there are no probes, nor for the length of a claim after the store was restored from an older
 * copy, which may lack a claim. Confined to the event loop.
 */
final class ProbeClaims {
    /** Time for which a claim excludes other probes; longer than most requests take. */
    static final long PROBE_INTERVAL_MS = 10_000;

    private final KeyValueStore store;
    private final String instance;
    private final TimeSource timeSource;
    private final Map<String, Long> nextClaimMs = new HashMap<>();
    private long noClaimUntilMs = Long.MIN_VALUE;

    ProbeClaims(KeyValueStore store, String instance, TimeSource timeSource) {
        this.store = store;
        this.instance = instance;
        this.timeSource = timeSource;
        store.epoch().onRestored(() -> noClaimUntilMs = timeSource.monotonicMs() + PROBE_INTERVAL_MS);
    }

    /** Claims the next probe of a quarantine; the result is false if another request has it or the store fails. */
    CompletableFuture<Boolean> claim(Quarantine quarantine) {
        long nowMs = timeSource.monotonicMs();
        PartFingerprint first = Collections.min(quarantine.parts());
        String key = FleetKeys.PROBES + first;
        nextClaimMs.values().removeIf(timeMs -> timeMs <= nowMs);
        if (nowMs < noClaimUntilMs || nextClaimMs.putIfAbsent(key, nowMs + PROBE_INTERVAL_MS) != null) {
            return CompletableFuture.completedFuture(false);
        }
        byte[] value = instance.getBytes(StandardCharsets.UTF_8);
        return store.grantLease(PROBE_INTERVAL_MS)
                .thenCompose(lease -> store.write(StoreWrite.putIf(key, 0, value, lease)))
                .handle((revision, failure) -> failure == null);
    }
}
