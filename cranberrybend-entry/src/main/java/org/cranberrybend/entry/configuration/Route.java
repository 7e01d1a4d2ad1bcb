package org.cranberrybend.entry.configuration;

import java.util.List;

/**
 * A route: applies to the requests for a host whose path begins with a prefix.
 *
 * @param name name of the route
 * @param host host name in lower case
 * @param prefix prefix of the path, begins and ends with a slash
 * @param retryRule whether requests that may have been executed may be retried
 * @param streaming whether the response is a stream of events
 * @param timeoutMs longest time until the final response, in milliseconds
 * @param targetLatencyMs target for the time until the response or its first event, in milliseconds
 * @param eventGapTargetMs target for the longest pause between two events, in milliseconds; 0 if there is none
 * @param priority priority of the requests; 0 is the highest
 * @param targets services with their share of the requests; never empty
 * @param maxAttempts largest number of attempts at upstreams for one request of a caller
 * @param allowAnonymous whether requests need no API key
 * @param regions regions in which requests may be processed
 */
public record Route(
        String name,
        String host,
        String prefix,
        RetryRule retryRule,
        boolean streaming,
        long timeoutMs,
        long targetLatencyMs,
        long eventGapTargetMs,
        int priority,
        List<Target> targets,
        int maxAttempts,
        boolean allowAnonymous,
        RegionConstraint regions) {
    /**
     * A service that receives part of a route's requests.
     *
     * @param service name of the service
     * @param weight weight relative to the sum of the weights of all targets
     */
    public record Target(String service, int weight) {}

    /** Creates a route whose requests may be processed in every region. */
    public Route(
            String name,
            String host,
            String prefix,
            RetryRule retryRule,
            boolean streaming,
            long timeoutMs,
            long targetLatencyMs,
            long eventGapTargetMs,
            int priority,
            List<Target> targets,
            int maxAttempts,
            boolean allowAnonymous) {
        this(
                name,
                host,
                prefix,
                retryRule,
                streaming,
                timeoutMs,
                targetLatencyMs,
                eventGapTargetMs,
                priority,
                targets,
                maxAttempts,
                allowAnonymous,
                RegionConstraint.NONE);
    }

    public Route {
        targets = List.copyOf(targets);
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException("prefix of route " + name + " must begin and end with a slash");
        }
        if (timeoutMs < 1 || maxAttempts < 1) {
            throw new IllegalArgumentException("route " + name + " needs a time limit and at least one attempt");
        }
    }

    /** Returns the service of a request; equal hashes give the same service. */
    public String serviceFor(long requestHash) {
        int total = targets.stream().mapToInt(Target::weight).sum();
        long position = total == 0 ? 0 : Math.floorMod(requestHash, (long) total);
        for (Target target : targets) {
            position -= target.weight();
            if (position < 0) {
                return target.service();
            }
        }
        return targets.get(0).service();
    }
}
