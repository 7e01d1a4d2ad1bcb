package org.cranberrybend.entry.request;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Checks at intervals whether the upstream of a request's current attempt still responds and its stream goes on, and
 * moves the request to another upstream if not. Confined to the event loop.
 */
final class ResponsivenessMonitor {
    /** Delay of the first check; slightly longer than the time after which an upstream counts as unresponsive. */
    private static final long FIRST_CHECK_MS = 1_050;

    private static final long CHECK_MS = 300;

    /** The request whose attempts are checked. */
    interface Subject {
        /** Returns the attempt in progress if it may be abandoned for another one; otherwise null. */
        UpstreamAttempt replaceableAttempt();

        /** Moves the request to another upstream if possible; returns whether it was moved. */
        boolean moveFrom(UpstreamAttempt current, String reason);
    }

    private final Subject subject;
    private final RequestServices services;
    private final RequestLog requestLog;
    private final AttemptHealth health;
    private ScheduledFuture<?> timer;
    private boolean stopped;

    ResponsivenessMonitor(Subject subject, RoutedRequest request, RequestServices services, RequestLog requestLog) {
        this.subject = subject;
        this.services = services;
        this.requestLog = requestLog;
        this.health = new AttemptHealth(request.route());
    }

    void start() {
        timer = services.loop().schedule(this::check, FIRST_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    void stop() {
        stopped = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void check() {
        long nowMs = services.timeSource().monotonicMs();
        UpstreamAttempt current = subject.replaceableAttempt();
        if (current != null && current.isSent() && current.isReading()) {
            if (health.isUnresponsive(current, nowMs)) {
                current.recordUnresponsive();
                current.upstream().ejectUnresponsive(nowMs);
                requestLog.recordUnresponsive(current);
                if (subject.moveFrom(current, "unresponsive upstream")) {
                    current.upstream().pool().discardIdle();
                }
            } else if (health.isStalled(current, nowMs)) {
                subject.moveFrom(current, "stalled stream");
            }
        }
        if (!stopped) {
            timer = services.loop().schedule(this::check, CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }
}
