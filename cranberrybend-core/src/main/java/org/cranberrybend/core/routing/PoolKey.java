package org.cranberrybend.core.routing;

/**
 * Identifies a pool: the upstreams of one availability zone that serve one model or plain service.
 *
 * @param zone availability zone
 * @param service name of the model or plain service
 */
public record PoolKey(String zone, String service) {
    /** Returns whether an upstream belongs to this pool. */
    public boolean contains(Upstream upstream) {
        return upstream.zone().equals(zone) && upstream.services().contains(service);
    }
}
