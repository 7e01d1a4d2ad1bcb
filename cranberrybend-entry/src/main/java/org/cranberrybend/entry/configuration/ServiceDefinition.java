package org.cranberrybend.entry.configuration;

import java.util.Optional;

/**
 * A service that routes forward requests to.
 *
 * @param name name of the service
 * @param maxConnections connections that one upstream accepts from all instances together; 0 if unlimited
 * @param engine capacity of its model engines; empty for a plain service
 * @param scaling bounds within which upstreams may be ordered; empty if none may be ordered
 * @param warmUp phase after the start of an upstream in which it is slow; empty if there is none
 */
public record ServiceDefinition(
        String name,
        int maxConnections,
        Optional<EngineDefinition> engine,
        Optional<ScalingBounds> scaling,
        Optional<WarmUp> warmUp) {
    /** Creates a service without a warm-up phase. */
    public ServiceDefinition(
            String name, int maxConnections, Optional<EngineDefinition> engine, Optional<ScalingBounds> scaling) {
        this(name, maxConnections, engine, scaling, Optional.empty());
    }

    /**
     * The capacity of a model engine.
     *
     * @param slots number of requests that one engine executes at the same time
     * @param kvCacheTokens number of tokens that the key-value cache of one engine holds
     */
    public record EngineDefinition(int slots, long kvCacheTokens) {}

    /**
     * The phase after the start of an upstream in which it sustains only a low rate of requests.
     *
     * @param durationMs length of the phase, in milliseconds
     * @param requestsPerS requests per second that it sustains during the phase, from all instances together
     */
    public record WarmUp(long durationMs, double requestsPerS) {}
}
