package org.cranberrybend.standins.engine;

import java.util.List;

/**
 * Settings of the stand-in engine.
 *
 * @param id name of the instance; the engine itself does not use it
 * @param host address to listen on
 * @param port port to listen on; 0 takes a free port
 * @param models models served; requests for other models get status 404; an empty list serves every model
 * @param slots maximum number of concurrent requests
 * @param prefillTokensPerS prompt tokens processed per second
 * @param decodeMsPerToken time per output token in milliseconds; fractions are allowed
 * @param loadLagMs age of the load in the load report, in milliseconds
 * @param checksFencing whether orders with a stale fencing number are rejected
 * @param requestsMax number of requests kept for GET /requests; 10,000 if absent
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
