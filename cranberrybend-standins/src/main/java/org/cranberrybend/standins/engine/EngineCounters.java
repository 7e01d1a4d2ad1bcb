package org.cranberrybend.standins.engine;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counters of an engine. {@code tokens_wasted} counts the tokens of responses that ended early because the caller
 * disconnected or cancelled the request; {@code tokens_interrupted} those of responses that an injected fault ended,
 * which may have been resumed on another engine.
 */
final class EngineCounters {
    private final MetricRegistry registry = new MetricRegistry();
    private final Counter requests = registry.counter("requests");
    private final Counter completed = registry.counter("requests_completed");
    private final Counter rejected = registry.counter("requests_refused");
    private final Counter prefilled = registry.counter("tokens_prefilled");
    private final Counter generated = registry.counter("tokens_generated");
    private final Counter wasted = registry.counter("tokens_wasted");
    private final Counter interrupted = registry.counter("tokens_interrupted");

    void recordRequest() {
        requests.inc();
    }

    void recordRejection() {
        rejected.inc();
    }

    void recordCompletion() {
        completed.inc();
    }

    void recordPrefill(int count) {
        prefilled.inc(count);
    }

    void recordToken() {
        generated.inc();
    }

    void recordWastedTokens(int tokens) {
        wasted.inc(tokens);
    }

    void recordInterruptedTokens(int tokens) {
        interrupted.inc(tokens);
    }

    Map<String, Object> values() {
        Map<String, Object> values = new TreeMap<>();
        registry.getCounters().forEach((name, counter) -> values.put(name, counter.getCount()));
        return values;
    }
}
