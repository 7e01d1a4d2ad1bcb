package org.cranberrybend.entry.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.time.TimeSource;

/**
 * Requests that wait because all upstreams of their service have asked for time or warm up. They are sent by priority,
 * then in the order of their arrival, as soon as an upstream may receive requests again. Confined to the event loop.
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
    private final Map<String, TreeMap<Position, Exchange>> byService = new HashMap<>();
    private long added;

    WaitingRequests(ScheduledExecutorService loop, TimeSource timeSource) {
        this.loop = loop;
        this.timeSource = timeSource;
    }

    /** Returns whether requests to a service wait; a later one has to wait behind them. */
    boolean isWaitingFor(String service) {
        return byService.containsKey(service);
    }

    /** Returns the number of waiting requests. */
    int count() {
        return byService.values().stream().mapToInt(Map::size).sum();
    }

    /**
     * Adds a request unless too many wait; returns whether it was added.
     *
     * @param priority 0 is the highest
     */
    boolean tryAdd(String service, int priority, Exchange request) {
        boolean first = !isWaitingFor(service);
        TreeMap<Position, Exchange> waiting = byService.computeIfAbsent(service, name -> new TreeMap<>());
        if (waiting.size() >= MAX_REQUESTS) {
            return false;
        }
        waiting.put(new Position(priority, added++), request);
        if (first) {
            scheduleCheck(service, request.pauseRemainingMs());
        }
        return true;
    }

    private void scheduleCheck(String service, long waitMs) {
        long delayMs = Math.min(MAX_CHECK_MS, Math.max(MIN_CHECK_MS, waitMs));
        loop.schedule(() -> check(service), delayMs, TimeUnit.MILLISECONDS);
    }

    private void check(String service) {
        // Removed meanwhile, so that a request that is dispatched once more does not wait behind itself.
        TreeMap<Position, Exchange> waiting = byService.remove(service);
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
        if (!waiting.isEmpty()) {
            byService.put(service, waiting);
            scheduleCheck(service, waitMs);
        }
    }
}
