package org.cranberrybend.entry.request;

import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.cranberrybend.entry.configuration.AccountEntry;
import org.cranberrybend.entry.configuration.RetryRule;
import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.upstream.Prompt;

/**
 * A request whose route and client account are known. Times are readings of the monotonic clock in milliseconds.
 *
 * @param attemptId identifier of the caller's attempt
 * @param method HTTP method
 * @param target path and query as received
 * @param headers headers that are forwarded
 * @param body body
 * @param route route
 * @param service service chosen among those of the route
 * @param account account of the key; empty on an open route without a known key
 * @param priority rank in force; 0 is the highest
 * @param urgent whether the route has a tight target among those of its service
 * @param prompt prompt; empty if the request has none
 * @param outputTokens largest number of output tokens; 0 if not stated
 * @param receivedMs time at which the request was received
 * @param endMs time at which the request must have its final answer
 * @param resumeAfter event after which the caller resumes a stream; empty if from its beginning
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
        boolean urgent,
        Prompt prompt,
        int outputTokens,
        long receivedMs,
        long endMs,
        String resumeAfter) {
    /** Ranks by route within each rank in force. */
    private static final int ROUTE_RANKS = 3;

    private static final int LAST_ENGINE_RANK = 9;

    RoutedRequest {
        headers = List.copyOf(headers);
    }

    /**
     * Returns the rank that an engine is told, 0 for the first. The rank in force goes first; requests of one rank, for
     * instance all of one account that has its own, are told apart by their route, so that a long draft never displaces a
     * chat of the same account.
     */
    int engineRank() {
        int routeRank = Math.min(ROUTE_RANKS - 1, Math.max(0, route.priority()));
        return Math.min(LAST_ENGINE_RANK, Math.max(0, priority) * ROUTE_RANKS + routeRank);
    }

    RetryRule repeatRule() {
        return route.retryRule();
    }
}
