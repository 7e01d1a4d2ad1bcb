package org.cranberrybend.entry.request;

import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.entry.configuration.AccountEntry;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.upstream.Exclusion;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * The upstreams that may receive one request, and when. The request keeps the region constraint under which it was
 * admitted; after a change of the configuration the intersection with the constraint in force applies.
 */
final class RequestPlacement {
    private static final long MIN_RETRY_AFTER_MS = 100;
    /** The same time if no zone with an upstream is allowed: only an operator or a new upstream changes that. */
    private static final long NO_ZONE_RETRY_AFTER_MS = 2_000;

    private final RoutedRequest request;
    private final RequestServices services;
    private final ServicePauses pauses;
    private Optional<RoutingConfiguration> appliedConfiguration;
    private RegionConstraint regions;

    RequestPlacement(RoutedRequest request, RequestServices services) {
        this.request = request;
        this.services = services;
        this.pauses = new ServicePauses(request.service(), services.withheld(), services.timeSource());
        this.appliedConfiguration = services.configuration().current();
        this.regions = request.regions();
    }

    /** Returns the regions in which the request may be processed now. */
    RegionConstraint regions() {
        Optional<RoutingConfiguration> current = services.configuration().current();
        if (current.isPresent() && (appliedConfiguration.isEmpty() || current.get() != appliedConfiguration.get())) {
            appliedConfiguration = current;
            Optional<String> account = request.account().map(AccountEntry::name);
            regions =
                    request.regions().and(current.get().regions(request.route().host(), request.target(), account));
        }
        return regions;
    }

    /** Returns the upstream for an attempt; empty if none is left. */
    Optional<Upstream> choose(Set<String> excluded) {
        return services.selector().choose(request.query(regions(), excluded, nowMs()));
    }

    /** Returns the reason why no upstream in the zone of the given one may receive the request; empty if any may. */
    Optional<Exclusion> zoneExclusion(Upstream upstream) {
        return services.eligibility().zoneExclusion(upstream.entry().zone(), regions());
    }

    /** Returns the queue in which the request waits. */
    WaitingRequests.Queue queue() {
        return new WaitingRequests.Queue(request.service(), regions());
    }

    /**
     * Returns the time until the first upstream may receive the request; 0 if one may now, or none is left.
     *
     * @param excluded upstreams that do not count
     */
    long pauseRemainingMs(Set<String> excluded) {
        return pauses.remainingMs(mayServe(excluded));
    }

    private Predicate<Upstream> mayServe(Set<String> excluded) {
        return each ->
                !excluded.contains(each.entry().id()) && zoneExclusion(each).isEmpty();
    }

    /**
     * Returns whether the request should be refused rather than wait: no upstream may receive it until the given time, or
     * it has waited long enough. The wait for upstreams whose requests are limited begins with the first call.
     */
    boolean isWaitTooLong(long timeMs, Set<String> excluded) {
        return pauses.outlast(timeMs, mayServe(excluded));
    }

    /** Returns whether the request has waited for upstreams whose requests are limited for as long as it may. */
    boolean isLimitedWaitOver() {
        return pauses.isLimitedWaitOver();
    }

    /** Returns the response to a request that was certainly not executed and for which no upstream is left. */
    ErrorResponse refusal() {
        ErrorCode code =
                regions().allowed().isEmpty() ? ErrorCode.NO_UPSTREAM : ErrorCode.NO_UPSTREAM_IN_ALLOWED_REGION;
        return ErrorResponse.notRun(code, retryAfterMs(), request.service());
    }

    /** Returns when a refused caller may come back: when an upstream may receive requests again, or soon. */
    long retryAfterMs() {
        long remainingMs = pauseRemainingMs(Set.of());
        if (remainingMs > 0) {
            return ErrorResponse.spread(Math.max(MIN_RETRY_AFTER_MS, remainingMs), request.attemptId());
        }
        boolean zoneLeft = false;
        boolean zoneExcluded = false;
        for (Upstream each : services.table().ofService(request.service())) {
            if (each.isListedReady()) {
                boolean excluded = zoneExclusion(each).isPresent();
                zoneLeft |= !excluded;
                zoneExcluded |= excluded;
            }
        }
        return zoneExcluded && !zoneLeft
                ? ErrorResponse.spread(NO_ZONE_RETRY_AFTER_MS, request.attemptId())
                : ErrorResponse.retryAfterUnknownEndMs(request.attemptId());
    }

    /** Describes the zones whose upstreams of the service may not receive the request. */
    String describeExcludedZones() {
        TreeMap<String, String> reasons = new TreeMap<>();
        for (Upstream each : services.table().all()) {
            if (each.entry().service().equals(request.service())) {
                zoneExclusion(each).ifPresent(reason -> reasons.put(each.entry().zone(), reason.text()));
            }
        }
        return reasons.entrySet().stream()
                .map(each -> "zone " + each.getKey() + " " + each.getValue())
                .collect(Collectors.joining(", "));
    }

    private long nowMs() {
        return services.timeSource().monotonicMs();
    }
}
