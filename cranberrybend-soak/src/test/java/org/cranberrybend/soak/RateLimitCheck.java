package org.cranberrybend.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.cranberrybend.core.rateshare.LimitBound;

/**
 * Counts the requests that an upstream with a stated rate limit receives from the processes that know it: those that
 * have passed on a response with the limit for some time. Guarded by the lock of its owner.
 */
final class RateLimitCheck {
    private static final LimitBound BOUND = new LimitBound(4_000, 1.5, 5);
    /** Time after the first statement from which the bound holds. */
    private static final long START_MS = SoakBounds.RECOVERY_GRACE_MS;
    /** Time after a process has passed a response on from which its requests count. */
    private static final long KNOWLEDGE_MS = 500;

    private record Limit(double requestsPerS, long sinceMs) {}

    private record PassedOn(int restarts, long atMs) {}

    private final Map<String, Limit> limits = new HashMap<>();
    /** Upstreams whose responses to these requests have the limit. */
    private final Map<String, String> statedTo = new HashMap<>();
    /** First response that the process of an instance passed on, by instance and upstream. */
    private final Map<String, PassedOn> passedOn = new HashMap<>();
    /** Times of the requests that count, by upstream, none older than the window. */
    private final Map<String, Deque<Long>> arrivals = new HashMap<>();

    /** Records that an upstream states a limit from now on. */
    void begin(String upstream, double requestsPerS, long nowMs) {
        limits.put(upstream, new Limit(requestsPerS, nowMs));
    }

    /** Records that an upstream is about to state no limit any more. */
    void end(String upstream) {
        limits.remove(upstream);
        statedTo.values().removeIf(upstream::equals);
        passedOn.keySet().removeIf(key -> key.endsWith(" " + upstream));
        arrivals.remove(upstream);
    }

    /** Records a response that the process of an instance passed on. */
    void recordResponse(String attemptId, String instance, int restarts, long nowMs) {
        String upstream = statedTo.remove(attemptId);
        if (upstream == null) {
            return;
        }
        String key = instance + " " + upstream;
        PassedOn first = passedOn.get(key);
        if (first == null || first.restarts() != restarts) {
            passedOn.put(key, new PassedOn(restarts, nowMs));
        }
    }

    /**
     * Records a request and returns whether the upstream has received more than its limit allows.
     *
     * @param undisturbed whether the instance is to keep the bound now
     */
    boolean exceeds(String upstream, String attemptId, String instance, int restarts, boolean undisturbed, long nowMs) {
        Limit limit = limits.get(upstream);
        if (limit == null) {
            return false;
        }
        statedTo.put(attemptId, upstream);
        PassedOn first = passedOn.get(instance + " " + upstream);
        boolean knows = first != null && first.restarts() == restarts && nowMs - first.atMs() >= KNOWLEDGE_MS;
        if (!knows || !undisturbed || nowMs - limit.sinceMs() < START_MS) {
            return false;
        }
        Deque<Long> counted = arrivals.computeIfAbsent(upstream, id -> new ArrayDeque<>());
        counted.addLast(nowMs);
        while (nowMs - counted.peekFirst() > BOUND.windowMs()) {
            counted.removeFirst();
        }
        return counted.size() > BOUND.maxRequests(limit.requestsPerS());
    }
}
