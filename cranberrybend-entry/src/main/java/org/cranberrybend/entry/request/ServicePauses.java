package org.cranberrybend.entry.request;

import java.util.OptionalLong;
import java.util.Set;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.upstream.UpstreamTable;

/** The pauses that the upstreams of one service have asked for, as far as they concern one request. */
final class ServicePauses {
    /** Time after which a refused caller may come back if it is not known when an upstream is free. */
    private static final long RETRY_AFTER_MS = 400;

    private static final long MIN_RETRY_AFTER_MS = 100;

    private final String service;
    private final UpstreamTable table;
    private final TimeSource timeSource;

    ServicePauses(String service, UpstreamTable table, TimeSource timeSource) {
        this.service = service;
        this.table = table;
        this.timeSource = timeSource;
    }

    /**
     * Returns the time until the first upstream may receive requests; 0 if one may now, or none is left.
     *
     * @param excluded upstreams that do not count
     */
    long remainingMs(Set<String> excluded) {
        long nowMs = timeSource.monotonicMs();
        OptionalLong endMs = table.firstPauseEndMs(service, excluded, nowMs);
        return endMs.isEmpty() ? 0 : Math.max(1, endMs.getAsLong() - nowMs);
    }

    /** Returns whether the first upstream may receive requests only after the given time. */
    boolean outlast(long timeMs, Set<String> excluded) {
        return timeSource.monotonicMs() + remainingMs(excluded) > timeMs;
    }

    /** Returns when a refused caller may come back: when an upstream may receive requests again, or soon. */
    long retryAfterMs(String requestId) {
        long remainingMs = remainingMs(Set.of());
        return remainingMs == 0
                ? RETRY_AFTER_MS
                : ErrorResponse.spread(Math.max(MIN_RETRY_AFTER_MS, remainingMs), requestId);
    }
}
