package org.cranberrybend.entry.port;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.hc.core5.http.Header;

/**
 * Names of the headers that callers, this program and upstreams exchange.
 *
 * @param attemptId identifier of one attempt of a caller; upstreams echo it in their responses
 * @param signature signature of an upstream, which proves that the response comes from it
 * @param upstreamId identifier of the upstream that a request is addressed to; any other upstream rejects it
 * @param notExecuted states that the upstream rejected a request without executing it
 * @param deadlineMs time left until the deadline of a request, in milliseconds
 * @param account client account of a request
 * @param enginePriority scheduling priority at an engine; 0 is the highest
 * @param model model that a request names
 * @param tokenCount tokens of the prompt and largest number of output tokens, separated by a comma
 * @param promptParts parts of the prompt in order, each with identifier and number of tokens
 * @param load running requests, waiting requests and slots of an upstream
 * @param leaving states, with the value {@link #LEAVING}, that the process of the upstream is about to end
 * @param rateLimit requests per second that the process of the upstream takes from all instances together
 * @param lastEventId last event of a stream that the caller has received
 * @param reserved headers that only this program may set; removed from requests of callers
 */
public record HeaderNames(
        String attemptId,
        String signature,
        String upstreamId,
        String notExecuted,
        String deadlineMs,
        String account,
        String enginePriority,
        String model,
        String tokenCount,
        String promptParts,
        String load,
        String leaving,
        String rateLimit,
        String lastEventId,
        Set<String> reserved) {
    /** The value of the header {@link #leaving} that makes a statement; another value makes none. */
    public static final String LEAVING = "1";

    public HeaderNames {
        reserved = Set.copyOf(reserved);
    }

    /** Returns the headers of a response of an upstream without those that are meant for this program. */
    public List<Header> toCaller(List<Header> headers) {
        return headers.stream()
                .filter(each -> !each.getName().equalsIgnoreCase(leaving))
                .filter(each -> !each.getName().equalsIgnoreCase(rateLimit))
                .collect(Collectors.toList());
    }
}
