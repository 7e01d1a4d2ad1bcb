package org.cranberrybend.entry.request;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;

/** Counters and histograms of requests. Labels are bounded: route names are not among them. */
public final class RequestMetrics {
    private final MetricRegistry registry;

    /** Creates the metrics in a registry. */
    public RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    void accepted() {
        registry.counter("requests_accepted").inc();
    }

    void ended(String outcome, long elapsedMs) {
        registry.counter("requests_" + outcome).inc();
        registry.timer("request_time").update(elapsedMs, TimeUnit.MILLISECONDS);
    }

    void firstEvent(long elapsedMs) {
        registry.timer("first_event_time").update(elapsedMs, TimeUnit.MILLISECONDS);
    }

    void sent(boolean repeat) {
        registry.counter(repeat ? "upstream_repeats" : "upstream_first_sends").inc();
    }

    void rejected() {
        registry.counter("upstream_rejections").inc();
    }

    void lost() {
        registry.counter("upstream_lost_answers").inc();
    }
}
