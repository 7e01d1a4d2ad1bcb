package org.cranberrybend.entry.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.cranberrybend.entry.configuration.AccountEntry;
import org.cranberrybend.entry.configuration.LatencyClass;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.configuration.RetryRule;
import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.upstream.Prompt;
import org.cranberrybend.entry.upstream.UpstreamQuery;

/**
 * A request whose route and client account have been determined. Times are monotonic, in milliseconds.
 *
 * @param attemptId identifier of the caller's attempt, which upstreams repeat in their responses
 * @param method HTTP method
 * @param target path and query as received
 * @param headers headers to be forwarded
 * @param body body
 * @param route route
 * @param service service selected from the targets of the route
 * @param account account that holds the API key; empty for an anonymous request
 * @param priority priority of the account if it has its own, otherwise that of the route; 0 is the highest
 * @param latencyClass class of the target latency of the route
 * @param prompt prompt; empty if the request has none
 * @param outputTokens maximum number of output tokens; 0 if not stated
 * @param receivedMs time at which the request was received
 * @param deadlineMs time by which the final response is due
 * @param resumeAfterEventId event after which the caller resumes a stream; empty if the stream starts anew
 * @param regions regions in which the request may be processed by the configuration under which it was admitted
 */
@SuppressWarnings("ArrayRecordComponent")
record RoutedRequest(
        String attemptId,
        String method,
        String target,
        List<Header> headers,
        byte[] body,
        Route route,
        String service,
        Optional<AccountEntry> account,
        int priority,
        LatencyClass latencyClass,
        Prompt prompt,
        int outputTokens,
        long receivedMs,
        long deadlineMs,
        String resumeAfterEventId,
        RegionConstraint regions) {
    /** Number of route priorities that are distinguished within one request priority. */
    private static final int ROUTE_PRIORITY_LEVELS = 3;

    private static final int LOWEST_ENGINE_PRIORITY = 9;

    RoutedRequest {
        headers = List.copyOf(headers);
    }

    /**
     * Returns the priority that is sent to an engine; 0 is the highest. It is ordered by the priority of the request,
     * then by that of the route: otherwise all requests of an account with a priority of its own would be equal, and a
     * long draft could displace a chat of the same account.
     */
    int enginePriority() {
        int routePriority = Math.min(ROUTE_PRIORITY_LEVELS - 1, Math.max(0, route.priority()));
        return Math.min(LOWEST_ENGINE_PRIORITY, Math.max(0, priority) * ROUTE_PRIORITY_LEVELS + routePriority);
    }

    /**
     * Returns the query for the upstream of an attempt.
     *
     * @param regionsInForce regions in which the request may be processed now
     * @param excluded upstreams of earlier attempts
     */
    UpstreamQuery query(RegionConstraint regionsInForce, Set<String> excluded, long nowMs) {
        return new UpstreamQuery(
                service,
                prompt,
                latencyClass,
                route.targetLatencyMs(),
                route.eventGapTargetMs(),
                regionsInForce,
                excluded,
                nowMs);
    }

    RetryRule retryRule() {
        return route.retryRule();
    }
}
