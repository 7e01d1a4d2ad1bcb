package org.cranberrybend.core.admission;

/**
 * How full the upstreams of a service are, as far as an instance knows, and what follows for a request. One object serves
 * all decisions of an event loop: it is cleared, each upstream that may receive the request is added, and it is asked.
 *
 * <p>An upstream is full if its expected requests fill its slots and a part of its queue. One whose load is not known, or
 * is known only by an old report, counts as not full, so that nothing waits or is refused without a reason.
 */
public final class ServiceOccupancy {
    /** Requests in the queue of an upstream, as a part of its slots, from which it is full. */
    private static final double QUEUE_PART = 0.25;
    /** Age from which a load report says nothing about room: reports come with responses and are passed on in 3 s. */
    private static final long MAX_REPORT_AGE_MS = 3_000;

    /** What becomes of a request for which all upstreams are full. */
    public enum Decision {
        /** It is sent now. */
        SEND,
        /** It waits at the instance. */
        WAIT,
        /** It cannot be answered before its deadline, and is refused. */
        REFUSE
    }

    private int upstreams;
    private int full;
    private double slots;
    private double expected;
    private double own;
    private double leastPerSlot;
    private long oldestReportMs;
    private double durationMs;

    /**
     * Forgets the upstreams of the last decision.
     *
     * @param requestDurationMs mean time that a request of the service takes; 0 if too few were observed
     */
    public void clear(double requestDurationMs) {
        upstreams = 0;
        full = 0;
        slots = 0;
        expected = 0;
        own = 0;
        leastPerSlot = Double.MAX_VALUE;
        oldestReportMs = 0;
        durationMs = requestDurationMs;
    }

    /** Returns whether an upstream is full as far as a sufficiently recent report shows. */
    public static boolean isFull(double expectedRequests, int slotCount, long reportAgeMs) {
        int known = Math.max(1, slotCount);
        return reportAgeMs <= MAX_REPORT_AGE_MS && expectedRequests >= known + Math.max(1, known * QUEUE_PART);
    }

    /**
     * Adds an upstream that may receive the request.
     *
     * @param expectedRequests running and waiting requests of all instances
     * @param ownRequests those of this instance among them
     */
    public void add(double expectedRequests, int ownRequests, int slotCount, long reportAgeMs) {
        int known = Math.max(1, slotCount);
        upstreams++;
        full += isFull(expectedRequests, slotCount, reportAgeMs) ? 1 : 0;
        slots += known;
        expected += expectedRequests;
        own += ownRequests;
        leastPerSlot = Math.min(leastPerSlot, expectedRequests / known);
        oldestReportMs = Math.max(oldestReportMs, reportAgeMs);
    }

    /** Returns whether every upstream that may receive the request is full, and the time a request takes is known. */
    public boolean isOverloaded() {
        return upstreams > 0 && full == upstreams && durationMs > 0;
    }

    /** Returns the expected requests per slot of all upstreams. */
    public double requestsPerSlot() {
        return slots == 0 ? 0 : expected / slots;
    }

    /** Returns the age of the oldest report that the decision is based on. */
    public long oldestReportMs() {
        return oldestReportMs;
    }

    /**
     * Returns the time until this instance has sent as many requests as are ahead, and one more. It sends as many as it
     * gets responses, so that instances share the upstreams as before; by Little's law these are its requests in progress
     * over the time that one takes.
     */
    public double waitMs(int ahead) {
        return (ahead + 1) * durationMs / Math.max(1, own);
    }

    /** Returns the time from sending to the response at the least loaded upstream: the mean, in proportion to the load. */
    public double responseMs() {
        return expected == 0 ? durationMs : durationMs * Math.min(1, leastPerSlot / requestsPerSlot());
    }

    /** Returns the time until the requests that have no slot are served, those that wait here included. */
    public long excessMs(int waiting) {
        return Math.round(Math.max(0, expected - slots) * durationMs / Math.max(1, expected) + waitMs(waiting));
    }

    /**
     * Returns what becomes of a request.
     *
     * @param ahead waiting requests that are sent before it
     * @param responseMs expected time from sending to the response; 0 if it is not known
     * @param latestSendMs time until which it may wait
     * @param deadlineMs time by which it must be answered
     */
    public Decision decide(int ahead, double responseMs, long latestSendMs, long deadlineMs, long nowMs) {
        if (!isOverloaded()) {
            return Decision.SEND;
        }
        double longestWaitMs = Math.max(0, latestSendMs - nowMs);
        if (nowMs + Math.min(longestWaitMs, waitMs(ahead)) + responseMs > deadlineMs) {
            return Decision.REFUSE;
        }
        return longestWaitMs > 0 ? Decision.WAIT : Decision.SEND;
    }
}
