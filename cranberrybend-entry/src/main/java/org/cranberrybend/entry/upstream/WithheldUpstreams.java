package org.cranberrybend.entry.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.cranberrybend.core.time.TimeSource;

/**
 * The listed upstreams that receive no or few requests from this instance because of their own statements. Confined to
 * the event loop.
 */
public final class WithheldUpstreams {
    /** Upstreams that a log line names at most. */
    private static final int MAX_DESCRIBED = 8;

    private final UpstreamTable table;
    private final SendLimits limits;
    private final TimeSource timeSource;

    /** Creates a view of the listed upstreams. */
    public WithheldUpstreams(UpstreamTable table, SendLimits limits, TimeSource timeSource) {
        this.table = table;
        this.limits = limits;
        this.timeSource = timeSource;
    }

    /**
     * Returns when the first upstream of a service may receive requests again, if each that could serve is paused or
     * limited and has no slot; empty if one may now, or none is left.
     *
     * @param mayServe whether an upstream could serve the request apart from pauses and limits
     */
    public Optional<Withholding> withholding(String service, Predicate<Upstream> mayServe) {
        long nowMs = timeSource.monotonicMs();
        long endMs = Long.MAX_VALUE;
        boolean limited = false;
        for (Upstream each : table.ofService(service)) {
            if (!each.isListedReady() || !mayServe.test(each)) {
                continue;
            }
            boolean paused = !each.admitsAfterPause(nowMs);
            if (!paused && limits.exclusion(each, nowMs).isEmpty()) {
                return Optional.empty();
            }
            endMs = Math.min(endMs, paused ? each.pausedUntilMs() : limits.admissionMs(each, nowMs));
            limited |= !paused;
        }
        return endMs == Long.MAX_VALUE ? Optional.empty() : Optional.of(new Withholding(endMs, limited));
    }

    /** Describes the upstreams of a service that are withheld. */
    public String describe(String service) {
        long nowMs = timeSource.monotonicMs();
        List<String> withheld = new ArrayList<>();
        for (Upstream each : table.ofService(service)) {
            if (withheld.size() < MAX_DESCRIBED) {
                reason(each, nowMs)
                        .ifPresent(reason -> withheld.add(each.entry().id() + " " + reason));
            }
        }
        return String.join(", ", withheld);
    }

    private Optional<String> reason(Upstream upstream, long nowMs) {
        if (upstream.isLeavingStated()) {
            return Optional.of("leaving");
        }
        if (upstream.isPaused(nowMs)) {
            return Optional.of("paused");
        }
        return limits.limiting(upstream, nowMs).map(Exclusion::text);
    }

    /** Returns the number of upstreams that want no requests from this instance for now. */
    public long pausedCount() {
        long nowMs = timeSource.monotonicMs();
        return table.all().stream().filter(each -> each.isPaused(nowMs)).count();
    }

    /** Returns the number of upstreams whose requests are limited for a reason. */
    public long limitedCount(SendLimiter limiter) {
        long nowMs = timeSource.monotonicMs();
        return table.all().stream()
                .filter(each -> limiter.isLimiting(each, nowMs))
                .count();
    }
}
