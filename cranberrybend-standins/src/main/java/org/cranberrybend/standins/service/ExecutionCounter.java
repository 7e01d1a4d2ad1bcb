package org.cranberrybend.standins.service;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts executions by request identifier and by body digest, so that tests detect requests executed twice. */
final class ExecutionCounter {
    // Two maps of this size use about 50 MB of the default heap of 192 MB.
    private static final int MAX_ENTRIES = 100_000;

    private final Map<String, Long> byRequestId = new BoundedCounts();
    private final Map<String, Long> byBodyDigest = new BoundedCounts();
    private long executions;
    private long rejected;

    /** Evicts the oldest entry above the size limit. */
    private static final class BoundedCounts extends LinkedHashMap<String, Long> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_ENTRIES;
        }
    }

    /** Counts an execution and returns the number of executions with this request identifier. */
    synchronized long recordExecution(String requestId, String bodyDigestHex) {
        executions++;
        byBodyDigest.merge(bodyDigestHex, 1L, Long::sum);
        return byRequestId.merge(requestId, 1L, Long::sum);
    }

    synchronized void recordRejection() {
        rejected++;
    }

    synchronized Map<String, Object> values() {
        return Map.of(
                "runs",
                executions,
                "refused",
                rejected,
                "runs_by_request_id",
                Map.copyOf(byRequestId),
                "runs_by_body_digest",
                Map.copyOf(byBodyDigest));
    }
}
