package org.cranberrybend.entry.configuration;

import java.util.Optional;

/**
 * A service that routes forward requests to.
 *
 * @param name name of the service
 * @param maxConnections connections that one upstream accepts from all instances together; 0 if unlimited
 * @param engine capacity of its model engines; empty for a plain service
 * @param scaling bounds within which upstreams may be ordered; empty if none may be ordered
 */
public record ServiceDefinition(
        String name, int maxConnections, Optional<EngineDefinition> engine, Optional<ScalingBounds> scaling) {
    /**
     * The capacity of a model engine.
     *
     * @param slots number of requests that one engine executes at the same time
     * @param kvCacheTokens number of tokens that the key-value cache of one engine holds
     */
    public record EngineDefinition(int slots, long kvCacheTokens) {}
}
