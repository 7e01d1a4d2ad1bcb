package org.cranberrybend.core.engine;

/**
 * The capacity of an engine by its configuration.
 *
 * @param slots number of requests that it executes at the same time
 * @param kvCacheTokens tokens that running requests and cached prefixes may occupy together; 0 if unknown
 */
public record EngineCapacity(int slots, long kvCacheTokens) {
    public EngineCapacity {
        slots = Math.max(1, slots);
    }
}
