package org.cranberrybend.router.meter;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Metrics of the data path. Labels are bounded, so that no configuration can grow the registry without limit. */
public final class RouterMetrics {
    private static final int MAX_CLASSES = 64;
    private static final String OTHER = "other";

    private final MetricRegistry registry;
    private final Histogram addedLatencyMicros;
    private final Set<String> classes = ConcurrentHashMap.newKeySet();

    /** How a request ended. */
    public enum Outcome {
        COMPLETED,
        FAILED,
        REFUSED,
        ABANDONED
    }

    /** Creates the metrics in a registry. */
    public RouterMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.addedLatencyMicros = registry.histogram("added_latency_micros");
    }

    /** Records the router's own time before a request was sent, without the wait for a slot, in microseconds. */
    public void addedLatency(long micros) {
        addedLatencyMicros.update(micros);
    }

    /** Counts a request by class and outcome. */
    public void request(String className, Outcome outcome) {
        String name = outcome.name().toLowerCase(Locale.ROOT);
        registry.counter("requests{class=\"" + label(className) + "\",outcome=\"" + name + "\"}")
                .inc();
    }

    /** Counts tokens by class. */
    public void tokens(String className, long promptTokens, long outputTokens) {
        registry.counter("tokens{class=\"" + label(className) + "\",kind=\"prompt\"}")
                .inc(promptTokens);
        registry.counter("tokens{class=\"" + label(className) + "\",kind=\"output\"}")
                .inc(outputTokens);
    }

    private String label(String className) {
        if (classes.contains(className) || (classes.size() < MAX_CLASSES && classes.add(className))) {
            return className;
        }
        return OTHER;
    }
}
