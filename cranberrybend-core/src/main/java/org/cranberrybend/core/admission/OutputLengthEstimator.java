package org.cranberrybend.core.admission;

import com.google.common.math.Quantiles;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.cranberrybend.core.account.RequestClass;

/**
 * Estimates the output length of a request as a percentile of recent output lengths of its class, because the actual
 * length is unknown on dispatch.
 *
 * <p>Edge cases: with too few samples, the request's own expected output is used. It is also the upper bound of the
 * estimate, because it may be the caller's limit on output tokens.
 */
public final class OutputLengthEstimator {
    private static final int WINDOW_SAMPLES = 128;
    private static final int MIN_SAMPLES = 8;

    private final int percentile;
    private final Map<String, Samples> byClass = new HashMap<>();

    /** Creates an estimator for the given percentile, 1 to 99. */
    public OutputLengthEstimator(int percentile) {
        this.percentile = percentile;
    }

    /** Records the output tokens of a complete response. */
    public void record(RequestClass requestClass, long outputTokens) {
        byClass.computeIfAbsent(requestClass.name(), name -> new Samples()).add(outputTokens);
    }

    /** Returns the estimated output tokens of a request. */
    public long estimate(QueuedRequest request) {
        Samples samples = byClass.get(request.requestClass().name());
        if (samples == null || samples.count < MIN_SAMPLES) {
            return request.expectedOutputTokens();
        }
        return Math.min(request.expectedOutputTokens(), samples.estimate(percentile));
    }

    private static final class Samples {
        private final long[] recent = new long[WINDOW_SAMPLES];
        /** Number of samples recorded; the ring buffer holds the last {@code WINDOW_SAMPLES} of them. */
        private long count;
        /** Cached percentile of the ring buffer, or -1 if a sample was added since it was computed. */
        private long cached = -1;

        void add(long outputTokens) {
            recent[(int) (count % WINDOW_SAMPLES)] = outputTokens;
            count++;
            cached = -1;
        }

        long estimate(int percentile) {
            if (cached < 0) {
                long[] samples = Arrays.copyOf(recent, (int) Math.min(count, WINDOW_SAMPLES));
                cached = Math.round(Quantiles.percentiles().index(percentile).compute(samples));
            }
            return cached;
        }
    }
}
