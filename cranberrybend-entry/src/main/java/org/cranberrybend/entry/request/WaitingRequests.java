package org.cranberrybend.entry.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.configuration.RegionConstraint;

/**
 * Requests that wait because all upstreams of their service are paused or limited. They are sent by priority,
 * then in the order of their arrival, as soon as an upstream may receive requests again. Requests with different region
 * constraints wait in queues of their own, because a pause in one region does not concern the others. Confined to the
 * event loop.
 *
 * <p>A request waits only if the wait ends before its deadline; any other is refused at once, with the time after which
 * its caller may send it again.
 */
final class WaitingRequests {
    /** Shortest interval of checks, while requests rise over a ramp after a pause. */
    private static final long MIN_CHECK_MS = 20;
    /** Longest interval of checks: another upstream may become available at any time. */
    private static final long MAX_CHECK_MS = 100;
    /** Waiting requests of a service; more are refused. */
    private static final int MAX_REQUESTS = 1_000;

    /**
     * The requests that wait for the same upstreams.
     *
     * @param service service of the requests
     * @param regions regions in which they could be processed when they began to wait
     */
    record Queue(String service, RegionConstraint regions) {}

    private record Position(int priority, long number) implements Comparable<Position> {
        private static final Comparator<Position> ORDER =
                Comparator.comparingInt(Position::priority).thenComparingLong(Position::number);

        @Override
        public int compareTo(Position other) {
            return ORDER.compare(this, other);
        }
    }

    private final ScheduledExecutorService loop;
    private final TimeSource timeSource;
    private final Map<Queue, TreeMap<Position, Exchange>> byQueue = new HashMap<>();
    private long added;

    WaitingRequests(ScheduledExecutorService loop, TimeSource timeSource) {
        this.loop = loop;
        this.timeSource = timeSource;
    }

    /** Returns whether requests with the same placement wait; a later one has to wait behind them. */
    boolean isAnyWaiting(RequestPlacement placement) {
        return !byQueue.isEmpty() && byQueue.containsKey(placement.queue());
    }

    /** Returns the number of waiting requests. */
    int count() {
        return byQueue.values().stream().mapToInt(Map::size).sum();
    }

    /**
     * Adds a request unless too many wait; returns whether it was added.
     *
     * @param priority 0 is the highest
     */
    boolean tryAdd(Queue queue, int priority, Exchange request) {
        if (countOf(queue.service()) >= MAX_REQUESTS) {
            return false;
        }
        boolean first = !byQueue.containsKey(queue);
        byQueue.computeIfAbsent(queue, each -> new TreeMap<>()).put(new Position(priority, added++), request);
        if (first) {
            scheduleCheck(queue, request.pauseRemainingMs());
        }
        return true;
    }

    private int countOf(String service) {
        int count = 0;
        for (Map.Entry<Queue, TreeMap<Position, Exchange>> each : byQueue.entrySet()) {
            count += each.getKey().service().equals(service) ? each.getValue().size() : 0;
        }
        return count;
    }

    private void scheduleCheck(Queue queue, long waitMs) {
        long delayMs = Math.min(MAX_CHECK_MS, Math.max(MIN_CHECK_MS, waitMs));
        loop.schedule(() -> check(queue), delayMs, TimeUnit.MILLISECONDS);
    }

    private void check(Queue queue) {
        // Removed meanwhile, so that a request that is dispatched once more does not wait behind itself.
        TreeMap<Position, Exchange> waiting = byQueue.remove(queue);
        while (!waiting.isEmpty() && waiting.firstEntry().getValue().tryEndWait()) {
            waiting.pollFirstEntry();
        }
        if (waiting.isEmpty()) {
            return;
        }
        // The pause may have become longer than some of the requests can wait.
        long waitMs = waiting.firstEntry().getValue().pauseRemainingMs();
        long waitEndMs = timeSource.monotonicMs() + waitMs;
        for (Iterator<Exchange> each = waiting.values().iterator(); each.hasNext(); ) {
            if (each.next().endWaitIfTooLong(waitEndMs)) {
                each.remove();
            }
        }
        if (waiting.isEmpty()) {
            return;
        }
        TreeMap<Position, Exchange> addedMeanwhile = byQueue.putIfAbsent(queue, waiting);
        if (addedMeanwhile == null) {
            scheduleCheck(queue, waitMs);
        } else {
            addedMeanwhile.putAll(waiting);
        }
    }
}
