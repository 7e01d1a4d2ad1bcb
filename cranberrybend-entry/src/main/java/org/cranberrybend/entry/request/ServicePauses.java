package org.cranberrybend.entry.request;

import java.util.Optional;
import java.util.Set;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.WarmUpLimiter;
import org.cranberrybend.entry.upstream.Withholding;

/** The pauses and warm-ups of the upstreams of one service, as far as they concern one request. */
final class ServicePauses {
    /** Time after which a refused caller may come back if it is not known when an upstream is free. */
    private static final long RETRY_AFTER_MS = 400;

    private static final long MIN_RETRY_AFTER_MS = 100;

    /**
     * Longest wait of a request for upstreams that are warming up. Their rate is far below that of their service, so
     * that most requests would wait in vain until the end of the phase.
     */
    private static final long MAX_WARM_UP_WAIT_MS = 1_000;

    private final String service;
    private final UpstreamTable table;
    private final WarmUpLimiter warmUp;
    private final TimeSource timeSource;
    /** Monotonic time at which the wait for upstreams that are warming up ends; set when it begins. */
    private long warmUpWaitEndMs = Long.MAX_VALUE;

    ServicePauses(String service, UpstreamTable table, WarmUpLimiter warmUp, TimeSource timeSource) {
        this.service = service;
        this.table = table;
        this.warmUp = warmUp;
        this.timeSource = timeSource;
    }

    /**
     * Returns the time until the first upstream may receive requests; 0 if one may now, or none is left.
     *
     * @param excluded upstreams that do not count
     */
    long remainingMs(Set<String> excluded) {
        long nowMs = timeSource.monotonicMs();
        return remainingMs(table.withholding(service, excluded, warmUp, nowMs), nowMs);
    }

    private static long remainingMs(Optional<Withholding> withholding, long nowMs) {
        return withholding.isEmpty() ? 0 : Math.max(1, withholding.get().endMs() - nowMs);
    }

    /**
     * Returns whether a request should not wait, because the first upstream may receive it only after the given time, or
     * it has waited for upstreams that are warming up for long enough. The latter wait begins with the first call.
     */
    boolean outlast(long timeMs, Set<String> excluded) {
        long nowMs = timeSource.monotonicMs();
        Optional<Withholding> withholding = table.withholding(service, excluded, warmUp, nowMs);
        if (withholding.isPresent() && withholding.get().warmingUp()) {
            warmUpWaitEndMs = Math.min(warmUpWaitEndMs, nowMs + MAX_WARM_UP_WAIT_MS);
        }
        return nowMs + remainingMs(withholding, nowMs) > timeMs || isWarmUpWaitOver();
    }

    /** Returns whether the request has waited for upstreams that are warming up for as long as it may. */
    boolean isWarmUpWaitOver() {
        return timeSource.monotonicMs() >= warmUpWaitEndMs;
    }

    /** Returns when a refused caller may come back: when an upstream may receive requests again, or soon. */
    long retryAfterMs(String requestId) {
        long remainingMs = remainingMs(Set.of());
        return remainingMs == 0
                ? RETRY_AFTER_MS
                : ErrorResponse.spread(Math.max(MIN_RETRY_AFTER_MS, remainingMs), requestId);
    }
}
