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
 * Writes the metrics of a registry in the Prometheus text format.
 *
 * <p>Names in the registry may contain labels in braces, such as {@code peer_bytes{type="Ping"}}. Names are converted
 * to lower case, and characters that the format does not allow become underscores; labels are written unchanged.
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
                    appendLine(text, name, "", (Number) value);
                }
            } else if (metric instanceof Counter) {
                appendLine(text, name, "", ((Counter) metric).getCount());
            } else if (metric instanceof Meter) {
                appendLine(text, name, "_total", ((Meter) metric).getCount());
            } else if (metric instanceof Timer) {
                appendSummary(text, name, ((Timer) metric).getSnapshot(), ((Timer) metric).getCount());
            } else if (metric instanceof Histogram) {
                appendSummary(text, name, ((Histogram) metric).getSnapshot(), ((Histogram) metric).getCount());
            }
        }
        return text.toString();
    }

    private static void appendSummary(StringBuilder text, String name, Snapshot snapshot, long count) {
        for (double quantile : QUANTILES) {
            String label = "quantile=\"" + quantile + "\"";
            appendLine(text, withLabel(name, label), "", snapshot.getValue(quantile));
        }
        appendLine(text, name, "_count", count);
    }

    private static String withLabel(String name, String label) {
        return name.endsWith("}") ? name.substring(0, name.length() - 1) + "," + label + "}" : name + "{" + label + "}";
    }

    private static void appendLine(StringBuilder text, String name, String suffix, Number value) {
        int brace = name.indexOf('{');
        String baseName = brace < 0 ? name : name.substring(0, brace);
        String labels = brace < 0 ? "" : name.substring(brace);
        text.append(PREFIX)
                .append(baseName.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_"))
                .append(suffix)
                .append(labels)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
