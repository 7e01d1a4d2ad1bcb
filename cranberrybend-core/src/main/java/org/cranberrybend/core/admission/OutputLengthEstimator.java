package org.cranberrybend.core.admission;

import com.google.common.math.Quantiles;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.cranberrybend.core.account.RequestClass;

/**
 * Estimates output lengths per class as a percentile of recent outputs, because the length is unknown on dispatch.
 *
 * <p>Edge cases: with few samples the request's own expectation is used; the expectation is also an upper bound, because
 * it may be the caller's limit on output tokens.
 */
public final class OutputLengthEstimator {
    private static final int SAMPLES_KEPT = 128;
    private static final int SAMPLES_NEEDED = 8;

    private final int percentile;
    private final Map<String, Samples> byClass = new HashMap<>();

    /** Creates an estimator of the given percentile, 1 to 99. */
    public OutputLengthEstimator(int percentile) {
        this.percentile = percentile;
    }

    /** Records the output tokens of a complete answer. */
    public void record(RequestClass requestClass, long outputTokens) {
        byClass.computeIfAbsent(requestClass.name(), name -> new Samples()).add(outputTokens);
    }

    /** Returns the estimated output tokens of a request. */
    public long estimate(QueuedRequest request) {
        Samples samples = byClass.get(request.requestClass().name());
        if (samples == null || samples.count < SAMPLES_NEEDED) {
            return request.expectedOutputTokens();
        }
        return Math.min(request.expectedOutputTokens(), samples.estimate(percentile));
    }

    private static final class Samples {
        private final long[] recent = new long[SAMPLES_KEPT];
        /** Samples seen; the ring holds the last {@code SAMPLES_KEPT} of them. */
        private long count;
        /** Percentile of the ring, or -1 if the ring changed since. */
        private long cached = -1;

        void add(long outputTokens) {
            recent[(int) (count % SAMPLES_KEPT)] = outputTokens;
            count++;
            cached = -1;
        }

        long estimate(int percentile) {
            if (cached < 0) {
                long[] held = Arrays.copyOf(recent, (int) Math.min(count, SAMPLES_KEPT));
                cached = Math.round(Quantiles.percentiles().index(percentile).compute(held));
            }
            return cached;
        }
    }
}
