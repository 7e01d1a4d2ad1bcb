package org.cranberrybend.runtime.admin;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;

/**
 * Writes a metric registry in the text format that monitoring systems scrape.
 *
 * <p>Registry names carry labels in braces, such as {@code peer_bytes{type="Ping"}}; characters outside the format's
 * alphabet become underscores.
 */
public final class MetricsText {
    private static final String PREFIX = "cranberrybend_";
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private MetricsText() {}

    /** Returns the text of all metrics. */
    public static String write(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Metric> entry : registry.getMetrics().entrySet()) {
            String name = entry.getKey();
            Object metric = entry.getValue();
            if (metric instanceof Gauge) {
                Object value = ((Gauge<?>) metric).getValue();
                if (value instanceof Number) {
                    line(text, name, "", (Number) value);
                }
            } else if (metric instanceof Counter) {
                line(text, name, "", ((Counter) metric).getCount());
            } else if (metric instanceof Meter) {
                line(text, name, "_total", ((Meter) metric).getCount());
            } else if (metric instanceof Timer) {
                summary(text, name, ((Timer) metric).getSnapshot(), ((Timer) metric).getCount());
            } else if (metric instanceof Histogram) {
                summary(text, name, ((Histogram) metric).getSnapshot(), ((Histogram) metric).getCount());
            }
        }
        return text.toString();
    }

    private static void summary(StringBuilder text, String name, Snapshot snapshot, long count) {
        for (double quantile : QUANTILES) {
            String label = "quantile=\"" + quantile + "\"";
            line(text, withLabel(name, label), "", snapshot.getValue(quantile));
        }
        line(text, name, "_count", count);
    }

    private static String withLabel(String name, String label) {
        return name.endsWith("}") ? name.substring(0, name.length() - 1) + "," + label + "}" : name + "{" + label + "}";
    }

    private static void line(StringBuilder text, String name, String suffix, Number value) {
        int brace = name.indexOf('{');
        String bare = brace < 0 ? name : name.substring(0, brace);
        String labels = brace < 0 ? "" : name.substring(brace);
        text.append(PREFIX)
                .append(bare.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_"))
                .append(suffix)
                .append(labels)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
