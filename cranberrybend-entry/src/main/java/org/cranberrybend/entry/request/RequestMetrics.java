package org.cranberrybend.entry.request;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;

/** Counters and timers of requests. Names contain no route names, so that the number of metrics stays bounded. */
public final class RequestMetrics {
    private final MetricRegistry registry;

    /** Creates the metrics in a registry. */
    public RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    void countAccepted() {
        registry.counter("requests_accepted").inc();
    }

    void recordOutcome(String outcome, long elapsedMs) {
        registry.counter("requests_" + outcome).inc();
        registry.timer("request_time").update(elapsedMs, TimeUnit.MILLISECONDS);
    }

    void recordTimeToFirstEvent(long elapsedMs) {
        registry.timer("first_event_time").update(elapsedMs, TimeUnit.MILLISECONDS);
    }

    void countSend(boolean retry) {
        registry.counter(retry ? "upstream_repeats" : "upstream_first_sends").inc();
    }

    void countRejection() {
        registry.counter("upstream_rejections").inc();
    }

    void countPause() {
        registry.counter("upstream_pauses").inc();
    }

    void countHeld() {
        registry.counter("requests_held_for_room").inc();
    }

    void recordOverloadWait(long waitMs) {
        registry.timer("room_wait_time").update(waitMs, TimeUnit.MILLISECONDS);
    }

    void countOverloadRefusal() {
        registry.counter("requests_refused_overload").inc();
    }

    void countQuarantineRefusal() {
        registry.counter("requests_refused_quarantined").inc();
    }

    void countLostResponse() {
        registry.counter("upstream_lost_answers").inc();
    }
}
