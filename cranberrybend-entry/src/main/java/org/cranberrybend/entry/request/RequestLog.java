package org.cranberrybend.entry.request;

import java.util.Collection;
import java.util.List;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.cranberrybend.core.engine.LatencyEstimate;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.quarantine.QuarantineService;
import org.cranberrybend.entry.upstream.EngineState;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * Log lines of one request: where it was sent and why, why it was retried, and how it ended. The lines of requests that
 * succeed at once are sampled, since they are many.
 */
final class RequestLog {
    private final RoutedRequest request;
    private final List<PartFingerprint> parts;
    private final RequestServices services;
    private final boolean sampled;

    RequestLog(RoutedRequest request, List<PartFingerprint> parts, RequestServices services) {
        this.request = request;
        this.parts = parts;
        this.services = services;
        this.sampled = DecisionLog.isSampled(request.attemptId());
    }

    void recordDispatch(Upstream upstream, String reason, boolean first, RequestPlacement placement) {
        if (!sampled && first) {
            return;
        }
        long nowMs = services.timeSource().monotonicMs();
        LatencyEstimate expected = expected(upstream, nowMs);
        services.log()
                .record(
                        EventCode.REQUEST_DISPATCHED,
                        request.attemptId(),
                        "route",
                        request.route().name(),
                        "upstream",
                        upstream.entry().id(),
                        "reason",
                        reason,
                        "estimated_requests",
                        upstream.estimatedRequests(nowMs),
                        "expected_requests",
                        Math.round(upstream.expectedRequests(nowMs)),
                        "own_requests",
                        upstream.running(),
                        "load_age_ms",
                        upstream.loadReportAgeMs(nowMs),
                        "expected_first_event_ms",
                        Math.round(expected.firstEventMs()),
                        "expected_pause_ms",
                        Math.round(expected.longestPauseMs()),
                        "added_pause_ms",
                        Math.round(expected.addedPauseMs()),
                        "directory_age_ms",
                        services.table().ageMs(),
                        "passed_over",
                        services.withheld().describe(request.service()),
                        "zones_passed_over",
                        placement.describeExcludedZones());
    }

    /** Records what the refusal of a request for which all upstreams are full is based on. */
    void recordOverload(OverloadBasis basis, long retryAfterMs) {
        services.log()
                .record(
                        EventCode.REQUEST_OVERLOADED,
                        request.attemptId(),
                        "decision",
                        basis.decision(),
                        "requests_per_slot",
                        Math.round(basis.requestsPerSlot() * 100) / 100.0,
                        "oldest_load_age_ms",
                        basis.reportAgeMs(),
                        "waiting",
                        basis.waiting(),
                        "ahead",
                        basis.ahead(),
                        "expected_wait_ms",
                        basis.waitMs(),
                        "expected_response_ms",
                        basis.responseMs(),
                        "left_ms",
                        basis.leftMs(),
                        "retry_after_ms",
                        retryAfterMs);
    }

    /** Returns the estimate for an engine; zeros for a plain service. */
    private LatencyEstimate expected(Upstream upstream, long nowMs) {
        if (request.prompt().isEmpty()) {
            return new LatencyEstimate(0, 0, 0);
        }
        EngineState engine = upstream.engine();
        int tokens = engine.uncachedTokens(request.prompt(), request.prompt().sharedPrefixHash(), nowMs);
        return engine.estimate(tokens, upstream.entry().slots(), nowMs);
    }

    /** Records what a complete response shows of its upstream. A request for time is no failure of the upstream. */
    void recordResponse(Upstream upstream, HttpResponse head) {
        if (ResponseKind.of(head.getCode()) == ResponseKind.ANSWER) {
            upstream.recordSuccess();
        } else if (head.getCode() >= HttpStatus.SC_SERVER_ERROR
                && RetryAfter.pauseMs(head).isEmpty()) {
            recordFailure(upstream, "status " + head.getCode());
        }
    }

    /** Records a failure of an upstream with this request. */
    void recordFailure(Upstream upstream, String cause) {
        if (upstream.recordFailure(services.timeSource().monotonicMs())) {
            recordUnhealthy(upstream, cause);
        }
    }

    /** Records that an upstream counts as unresponsive, with what the first event was expected to take. */
    void recordUnresponsive(UpstreamAttempt attempt) {
        long nowMs = services.timeSource().monotonicMs();
        Upstream upstream = attempt.upstream();
        services.log()
                .record(
                        EventCode.UPSTREAM_UNHEALTHY,
                        upstream.entry().id(),
                        "cause",
                        "silent",
                        "zone",
                        upstream.entry().zone(),
                        "since_sent_ms",
                        nowMs - attempt.sentMs(),
                        "expected_first_event_ms",
                        Math.round(expected(upstream, nowMs).firstEventMs()),
                        "load_age_ms",
                        upstream.loadReportAgeMs(nowMs));
    }

    void recordUnhealthy(Upstream upstream, String cause) {
        services.log().record(EventCode.UPSTREAM_UNHEALTHY, upstream.entry().id(), "cause", cause);
    }

    void recordRetry(String reason, long remainingMs) {
        services.log()
                .record(
                        EventCode.REQUEST_RETRIED,
                        request.attemptId(),
                        "reason",
                        reason,
                        "left_ms",
                        remainingMs,
                        "parts",
                        QuarantineService.describe(parts));
    }

    /**
     * Records how the request ended.
     *
     * @param last last attempt; null if the request has waited in this process only
     */
    void recordEnd(
            EventCode code,
            String cause,
            int sends,
            long elapsedMs,
            Collection<String> upstreams,
            UpstreamAttempt last) {
        if (!sampled && code == EventCode.REQUEST_COMPLETED && sends <= 1) {
            return;
        }
        services.log()
                .record(
                        code,
                        request.attemptId(),
                        "route",
                        request.route().name(),
                        "cause",
                        cause,
                        "sends",
                        sends,
                        "elapsed_ms",
                        elapsedMs,
                        "upstreams",
                        String.join(",", upstreams),
                        "last_zone",
                        last == null ? "" : last.upstream().entry().zone(),
                        "since_sent_ms",
                        last == null || !last.isSent()
                                ? -1
                                : services.timeSource().monotonicMs() - last.sentMs(),
                        "priority",
                        request.priority(),
                        "parts",
                        QuarantineService.describe(parts),
                        "directory_age_ms",
                        services.table().ageMs());
    }
}
