package org.cranberrybend.entry.port;

import java.util.Set;

/**
 * Names of the headers by which callers, this program and upstreams understand each other.
 *
 * @param attemptId identifier of one attempt of a caller; upstreams repeat it in their responses
 * @param signature header that marks a response as the work of an upstream
 * @param upstreamId identifier of the upstream that a request is meant for; another one refuses it
 * @param notExecuted header by which an upstream states that it did not run a request
 * @param deadlineMs time that is left for a request, in milliseconds
 * @param account client account that a request runs for
 * @param enginePriority urgency at an engine, 0 is the most urgent
 * @param model model of a generation
 * @param tokenCount tokens of the prompt and largest number of output tokens, separated by a comma
 * @param promptParts parts of the prompt in order, each as identifier and tokens
 * @param load running requests, waiting requests and slots of an upstream
 * @param lastEventId last event of a stream that the caller has received
 * @param reserved headers that only this program may set; removed from what callers send
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
        String lastEventId,
        Set<String> reserved) {
    public HeaderNames {
        reserved = Set.copyOf(reserved);
    }
}
