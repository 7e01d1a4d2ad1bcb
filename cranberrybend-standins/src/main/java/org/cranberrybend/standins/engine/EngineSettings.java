package org.cranberrybend.standins.engine;

import java.util.List;

/**
 * Settings of the stand-in engine.
 *
 * @param id name of the instance, shown in its counters
 * @param host address to listen on
 * @param port port to listen on; 0 takes a free port
 * @param models models offered; other models are answered with 404; empty for every model
 * @param slots requests that run at a time
 * @param prefillTokensPerS prompt tokens processed per second
 * @param decodeMsPerToken time per output token in milliseconds; may be a fraction
 * @param loadLagMs lag of the load report
 * @param checksFencing whether orders with a stale fencing number are rejected
 * @param requestsMax count of requests kept for GET /requests; absent for 10,000
 */
public record EngineSettings(
        String id,
        String host,
        int port,
        List<String> models,
        int slots,
        double prefillTokensPerS,
        double decodeMsPerToken,
        long loadLagMs,
        boolean checksFencing,
        Integer requestsMax) {
    private static final int DEFAULT_REQUESTS_MAX = 10_000;

    public EngineSettings {
        models = models == null ? List.of() : List.copyOf(models);
        requestsMax = requestsMax == null ? DEFAULT_REQUESTS_MAX : requestsMax;
    }
}
