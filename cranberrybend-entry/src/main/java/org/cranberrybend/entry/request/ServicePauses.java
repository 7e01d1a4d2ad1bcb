package org.cranberrybend.entry.request;

import java.util.Optional;
import java.util.function.Predicate;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.upstream.Upstream;
import org.cranberrybend.entry.upstream.WithheldUpstreams;
import org.cranberrybend.entry.upstream.Withholding;

/** The pauses, warm-ups and rate limits of the upstreams of one service, as far as they concern one request. */
final class ServicePauses {
    /**
     * Longest wait of a request for upstreams whose requests are limited. Their rate may be far below that of their
     * service, so that most requests would wait in vain.
     */
    private static final long MAX_LIMITED_WAIT_MS = 1_000;

    private final String service;
    private final WithheldUpstreams withheld;
    private final TimeSource timeSource;
    /** Monotonic time at which the wait for upstreams whose requests are limited ends; set when it begins. */
    private long limitedWaitEndMs = Long.MAX_VALUE;

    ServicePauses(String service, WithheldUpstreams withheld, TimeSource timeSource) {
        this.service = service;
        this.withheld = withheld;
        this.timeSource = timeSource;
    }

    /**
     * Returns the time until the first upstream may receive requests; 0 if one may now, or none is left.
     *
     * @param mayServe whether an upstream could serve the request apart from pauses and limits
     */
    long remainingMs(Predicate<Upstream> mayServe) {
        long nowMs = timeSource.monotonicMs();
        return remainingMs(withheld.withholding(service, mayServe), nowMs);
    }

    private static long remainingMs(Optional<Withholding> withholding, long nowMs) {
        return withholding.isEmpty() ? 0 : Math.max(1, withholding.get().endMs() - nowMs);
    }

    /**
     * Returns whether a request should not wait, because the first upstream may receive it only after the given time, or
     * it has waited for upstreams whose requests are limited for long enough. The latter wait begins with the first call.
     */
    boolean outlast(long timeMs, Predicate<Upstream> mayServe) {
        long nowMs = timeSource.monotonicMs();
        Optional<Withholding> withholding = withheld.withholding(service, mayServe);
        if (withholding.isPresent() && withholding.get().limited()) {
            limitedWaitEndMs = Math.min(limitedWaitEndMs, nowMs + MAX_LIMITED_WAIT_MS);
        }
        return nowMs + remainingMs(withholding, nowMs) > timeMs || isLimitedWaitOver();
    }

    /** Returns whether the request has waited for upstreams whose requests are limited for as long as it may. */
    boolean isLimitedWaitOver() {
        return timeSource.monotonicMs() >= limitedWaitEndMs;
    }
}
