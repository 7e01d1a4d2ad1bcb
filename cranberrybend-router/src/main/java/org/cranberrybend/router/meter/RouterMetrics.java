package org.cranberrybend.router.meter;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Metrics of the data path. Class labels are limited, so that no configuration can grow the registry without limit. */
public final class RouterMetrics {
    private static final int MAX_CLASSES = 64;
    private static final String OTHER_LABEL = "other";

    private final MetricRegistry registry;
    private final Histogram addedLatencyMicros;
    private final Set<String> classes = ConcurrentHashMap.newKeySet();

    /** Outcome of a request. */
    public enum Outcome {
        COMPLETED,
        FAILED,
        REFUSED,
        ABANDONED
    }

    /** Registers the metrics. */
    public RouterMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.addedLatencyMicros = registry.histogram("added_latency_micros");
    }

    /** Records the router's processing time from receiving a request to requesting a slot for it, in microseconds. */
    public void recordAddedLatency(long micros) {
        addedLatencyMicros.update(micros);
    }

    /** Counts a request by class and outcome. */
    public void countRequest(String className, Outcome outcome) {
        String name = outcome.name().toLowerCase(Locale.ROOT);
        registry.counter("requests{class=\"" + boundedLabel(className) + "\",outcome=\"" + name + "\"}")
                .inc();
    }

    /** Counts tokens by class. */
    public void countTokens(String className, long promptTokens, long outputTokens) {
        registry.counter("tokens{class=\"" + boundedLabel(className) + "\",kind=\"prompt\"}")
                .inc(promptTokens);
        registry.counter("tokens{class=\"" + boundedLabel(className) + "\",kind=\"output\"}")
                .inc(outputTokens);
    }

    private String boundedLabel(String className) {
        if (classes.contains(className) || (classes.size() < MAX_CLASSES && classes.add(className))) {
            return className;
        }
        return OTHER_LABEL;
    }
}
