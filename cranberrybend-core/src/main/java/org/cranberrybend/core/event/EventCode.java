package org.cranberrybend.core.event;

import org.cranberrybend.core.error.Severity;

/**
 * Codes of all events. Numbers are stable. docs/events.md lists them, and a test compares that page with this type.
 *
 * <p>The hundreds digit is the area: 1 process, 2 configuration, 3 membership, 4 request, 5 upstream, 6 lease and
 * order, 7 usage, 8 operator.
 */
public enum EventCode {
    PROCESS_STARTED(101, Severity.INFO, "Process started."),
    PROCESS_STOPPING(102, Severity.INFO, "Process is draining."),
    PROCESS_STOPPED(103, Severity.INFO, "Process stopped."),
    PAUSE_DETECTED(104, Severity.WARNING, "Process was paused."),
    DRAIN_INTERRUPTED(105, Severity.WARNING, "Drain ended before all requests finished."),
    INTERNAL_FAILURE(106, Severity.ERROR, "Unexpected failure."),
    SETTINGS_RELOADED(107, Severity.INFO, "The settings file was read again."),
    SETTINGS_UNREADABLE(108, Severity.WARNING, "The settings file cannot be used; the process goes on with its own."),
    PROCESS_FAILED(109, Severity.ERROR, "The process ends by an error."),
    CONFIGURATION_ACCEPTED(201, Severity.INFO, "Configuration revision is in force."),
    CONFIGURATION_OLDER_REFUSED(202, Severity.WARNING, "An older configuration was refused."),
    CONFIGURATION_DIVERGED(203, Severity.ERROR, "A configuration with a different history was refused."),
    CONFIGURATION_RESTORED(204, Severity.WARNING, "The accepted configuration was written back to the store."),
    CONFIGURATION_STALE(205, Severity.WARNING, "The configuration has not been confirmed for too long."),
    KEY_REVOKED(206, Severity.INFO, "A key was revoked."),
    STORE_UNAVAILABLE(207, Severity.WARNING, "The key-value service cannot be reached."),
    STORE_AVAILABLE(208, Severity.INFO, "The key-value service can be reached again."),
    CONFIGURATION_UNREADABLE(209, Severity.WARNING, "A configuration that cannot be read was left out."),
    STORE_RESTORED(210, Severity.WARNING, "The key-value service was restored from an older copy."),
    MEMBER_JOINED(301, Severity.INFO, "A member joined."),
    MEMBER_SUSPECTED(302, Severity.WARNING, "A member does not answer probes."),
    MEMBER_DEAD(303, Severity.WARNING, "A member was declared dead."),
    MEMBER_LEAVING(304, Severity.INFO, "A member is leaving."),
    MEMBER_REFUTED(305, Severity.INFO, "This process refuted a suspicion about itself."),
    REQUEST_ACCEPTED(401, Severity.INFO, "A request was accepted."),
    REQUEST_DISPATCHED(402, Severity.INFO, "A request was dispatched to an upstream."),
    REQUEST_RETRIED(403, Severity.INFO, "A request is retried on another upstream."),
    REQUEST_RESUMED(404, Severity.WARNING, "An interrupted stream was resumed on another upstream."),
    REQUEST_COMPLETED(405, Severity.INFO, "A request was answered in full."),
    REQUEST_FAILED(406, Severity.WARNING, "A request ended with an error."),
    REQUEST_REFUSED(407, Severity.INFO, "A request was refused before it ran."),
    REQUEST_ABANDONED(408, Severity.INFO, "The caller disconnected before the answer was complete."),
    REQUEST_QUEUED(409, Severity.INFO, "A request waits for a slot."),
    REQUEST_SHED(410, Severity.INFO, "A waiting request was shed."),
    IDEMPOTENCY_REPLAYED(411, Severity.INFO, "A stored response was replayed."),
    PROMPT_QUARANTINED(412, Severity.WARNING, "Requests with prompt parts that crash upstreams are refused."),
    PROMPT_RELEASED(413, Severity.INFO, "Requests with prompt parts are no longer refused."),
    CALLER_MEMORY_EXHAUSTED(
            414, Severity.WARNING, "Callers were refused or disconnected for lack of memory or descriptors."),
    REQUEST_OVERLOADED(415, Severity.INFO, "A request is refused because all upstreams are full."),
    UPSTREAM_JOINED(501, Severity.INFO, "An upstream can be used."),
    UPSTREAM_LEAVING(502, Severity.INFO, "An upstream is leaving and receives no new requests."),
    UPSTREAM_UNHEALTHY(503, Severity.WARNING, "An upstream's circuit breaker opened."),
    UPSTREAM_RECOVERED(504, Severity.INFO, "An upstream's circuit breaker closed."),
    UPSTREAM_GONE(505, Severity.INFO, "An upstream is no longer listed."),
    SHARD_OWNED(506, Severity.INFO, "This router owns a pool shard."),
    SHARD_LOST(507, Severity.INFO, "This router no longer owns a pool shard."),
    UPSTREAM_DRAINING(508, Severity.INFO, "An upstream is drained before it is stopped."),
    UPSTREAM_DRAIN_ENDED(509, Severity.INFO, "An upstream is needed again and is not stopped."),
    UPSTREAM_UNREADABLE(510, Severity.WARNING, "An entry that cannot be read names no upstream."),
    UPSTREAM_CRASHED(511, Severity.WARNING, "An upstream ended while it ran requests, and refuses connections."),
    UPSTREAM_PAUSED(512, Severity.INFO, "An upstream has asked in a response for no requests for some time."),
    ZONE_EVACUATED(513, Severity.WARNING, "The upstreams of an availability zone receive no new requests."),
    ZONE_RETURNED(514, Severity.INFO, "The upstreams of an availability zone receive requests again."),
    UPSTREAM_WARMING_UP(515, Severity.INFO, "An upstream is warming up."),
    UPSTREAM_LIMITED(516, Severity.INFO, "An upstream has stated the rate of requests that it takes."),
    UPSTREAM_LIMIT_ENDED(517, Severity.INFO, "An upstream states no rate limit any more."),
    LEASE_ACQUIRED(601, Severity.INFO, "A lease was acquired."),
    LEASE_LOST(602, Severity.WARNING, "A lease was lost."),
    ORDER_INTENT_RECORDED(603, Severity.INFO, "The intent of an upstream order was recorded."),
    ORDER_SENT(604, Severity.INFO, "An upstream order was sent."),
    ORDER_CONFIRMED(605, Severity.INFO, "An upstream order was confirmed."),
    ORDER_ABANDONED(606, Severity.WARNING, "An upstream order was abandoned before it was sent."),
    ORDER_RECONCILED(607, Severity.INFO, "An upstream order without a response was found by reading back."),
    SUCCESSOR_WAITING(608, Severity.INFO, "A new lease holder waits before its first order."),
    USAGE_WINDOW_SEALED(701, Severity.INFO, "A usage window was sealed."),
    USAGE_REPORTED(702, Severity.INFO, "A usage window was reported."),
    USAGE_LATE(703, Severity.WARNING, "Late usage was carried to a later window."),
    USAGE_REPORT_FAILED(704, Severity.WARNING, "A usage report was not accepted and is repeated."),
    OPERATOR_CHANGE(801, Severity.INFO, "An operator changed the configuration."),
    OPERATOR_REFUSED(802, Severity.WARNING, "An operator's change was refused.");

    private final int number;
    private final Severity severity;
    private final String description;

    EventCode(int number, Severity severity, String description) {
        this.number = number;
        this.severity = severity;
        this.description = description;
    }

    /** Returns the number, which never changes. */
    public int number() {
        return number;
    }

    /** Returns the severity. */
    public Severity severity() {
        return severity;
    }

    /** Returns the description shown with the event. */
    public String description() {
        return description;
    }
}
