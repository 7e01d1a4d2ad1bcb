package org.cranberrybend.standins.service;

/**
 * Settings of the stand-in service.
 *
 * @param id name of the instance, included in responses
 * @param service name of the service
 * @param host address to listen on
 * @param port port to listen on; 0 takes a free port
 * @param runMs duration of an execution in milliseconds
 * @param requestsMax number of requests kept for GET /requests; 10,000 if absent
 */
public record ServiceSettings(String id, String service, String host, int port, long runMs, Integer requestsMax) {
    private static final int DEFAULT_REQUESTS_MAX = 10_000;

    public ServiceSettings {
        requestsMax = requestsMax == null ? DEFAULT_REQUESTS_MAX : requestsMax;
    }
}
