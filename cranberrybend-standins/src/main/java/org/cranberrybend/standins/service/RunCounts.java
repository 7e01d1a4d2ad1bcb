package org.cranberrybend.standins.service;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts runs by request identifier and by body digest, so that a test finds a request that ran twice. */
final class RunCounts {
    // Two maps of this size take about 50 MB of the default heap of 192 MB.
    private static final int MAX_ENTRIES = 100_000;

    private final Map<String, Long> byRequestId = new BoundedCounts();
    private final Map<String, Long> byBodyDigest = new BoundedCounts();
    private long runs;
    private long refused;

    /** Drops the oldest entry beyond the bound. */
    private static final class BoundedCounts extends LinkedHashMap<String, Long> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_ENTRIES;
        }
    }

    /** Counts a run and returns the number of runs with this request identifier. */
    synchronized long ran(String requestId, String bodyDigestHex) {
        runs++;
        byBodyDigest.merge(bodyDigestHex, 1L, Long::sum);
        return byRequestId.merge(requestId, 1L, Long::sum);
    }

    synchronized void refused() {
        refused++;
    }

    synchronized Map<String, Object> values() {
        return Map.of(
                "runs",
                runs,
                "refused",
                refused,
                "runs_by_request_id",
                Map.copyOf(byRequestId),
                "runs_by_body_digest",
                Map.copyOf(byBodyDigest));
    }
}
