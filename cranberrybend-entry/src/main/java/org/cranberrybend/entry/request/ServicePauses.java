package org.cranberrybend.entry.request;

import java.util.Optional;
import java.util.function.Predicate;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.upstream.Upstream;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.WarmUpLimiter;
import org.cranberrybend.entry.upstream.Withholding;

/** The pauses and warm-ups of the upstreams of one service, as far as they concern one request. */
final class ServicePauses {
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
     * @param mayServe whether an upstream could serve the request apart from pauses and warm-ups
     */
    long remainingMs(Predicate<Upstream> mayServe) {
        long nowMs = timeSource.monotonicMs();
        return remainingMs(table.withholding(service, mayServe, warmUp, nowMs), nowMs);
    }

    private static long remainingMs(Optional<Withholding> withholding, long nowMs) {
        return withholding.isEmpty() ? 0 : Math.max(1, withholding.get().endMs() - nowMs);
    }

    /**
     * Returns whether a request should not wait, because the first upstream may receive it only after the given time, or
     * it has waited for upstreams that are warming up for long enough. The latter wait begins with the first call.
     */
    boolean outlast(long timeMs, Predicate<Upstream> mayServe) {
        long nowMs = timeSource.monotonicMs();
        Optional<Withholding> withholding = table.withholding(service, mayServe, warmUp, nowMs);
        if (withholding.isPresent() && withholding.get().warmingUp()) {
            warmUpWaitEndMs = Math.min(warmUpWaitEndMs, nowMs + MAX_WARM_UP_WAIT_MS);
        }
        return nowMs + remainingMs(withholding, nowMs) > timeMs || isWarmUpWaitOver();
    }

    /** Returns whether the request has waited for upstreams that are warming up for as long as it may. */
    boolean isWarmUpWaitOver() {
        return timeSource.monotonicMs() >= warmUpWaitEndMs;
    }
}
