package org.cranberrybend.entry.configuration;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param name name of the service
 * @param maxConnections connections that one upstream accepts from all instances together; 0 if not bounded
 * @param engine what its model engines can do; empty for a plain service
 * @param scaling bounds within which upstreams may be ordered; empty if they may not
 */
public record ServiceDefinition(
        String name, int maxConnections, Optional<EngineDefinition> engine, Optional<ScalingBounds> scaling) {
    /**
     * A model engine.
     *
     * @param slots requests that one engine runs at the same time
     * @param cacheTokens tokens that fit into the memory of one engine
     */
    public record EngineDefinition(int slots, long cacheTokens) {}
}
