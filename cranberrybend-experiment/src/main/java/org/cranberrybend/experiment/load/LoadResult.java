package org.cranberrybend.experiment.load;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Counts and latency histograms of one target. Thread-safe. */
public final class LoadResult {
    private static final long MAX_NS = TimeUnit.MINUTES.toNanos(5);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NS_PER_MS = 1e6;

    private final Histogram firstTokenNs = new Histogram(MAX_NS, SIGNIFICANT_DIGITS);
    private final Histogram interTokenNs = new Histogram(MAX_NS, SIGNIFICANT_DIGITS);
    private long completed;
    private long failed;
    private long tokens;
    private long elapsedNs;

    synchronized void add(StreamSample sample) {
        if (!sample.complete() || sample.firstTokenNs() < 0) {
            failed++;
            return;
        }
        completed++;
        tokens += sample.tokens();
        firstTokenNs.recordValue(sample.firstTokenNs());
        sample.interTokenNs().forEach(interTokenNs::recordValue);
    }

    synchronized void addFailure() {
        failed++;
    }

    synchronized void addElapsedNs(long durationNs) {
        elapsedNs += durationNs;
    }

    /** Returns the number of requests that failed or whose stream was incomplete. */
    public synchronized long failed() {
        return failed;
    }

    /** Returns the metrics in report order; times are in milliseconds. */
    synchronized Map<String, Object> metrics() {
        Map<String, Object> metrics = new LinkedHashMap<>();
        double elapsedS = elapsedNs / 1e9;
        metrics.put("requests", completed);
        metrics.put("failed", failed);
        metrics.put("requests_per_s", round(completed / elapsedS));
        metrics.put("tokens_per_s", round(tokens / elapsedS));
        metrics.put("first_token_p50_ms", round(firstTokenNs.getValueAtPercentile(50) / NS_PER_MS));
        metrics.put("first_token_p95_ms", round(firstTokenNs.getValueAtPercentile(95) / NS_PER_MS));
        metrics.put("first_token_p99_ms", round(firstTokenNs.getValueAtPercentile(99) / NS_PER_MS));
        metrics.put("inter_token_p95_ms", round(interTokenNs.getValueAtPercentile(95) / NS_PER_MS));
        return metrics;
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }
}
