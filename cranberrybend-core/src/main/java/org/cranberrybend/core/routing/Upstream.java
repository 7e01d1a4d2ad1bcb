package org.cranberrybend.core.routing;

import java.util.Set;

/**
 * An upstream as listed in the platform's instance list.
 *
 * @param id identifier of the upstream instance
 * @param zone availability zone
 * @param region region
 * @param host IP address
 * @param port TCP port
 * @param kind engine or plain service
 * @param services names of the models of an engine, or the name of a plain service
 * @param capacitySlots number of requests that it executes concurrently without queueing
 * @param market market in which it was ordered
 * @param checksFencing whether it rejects orders with a stale fencing number
 * @param leaving whether it must receive no new requests
 */
public record Upstream(
        String id,
        String zone,
        String region,
        String host,
        int port,
        UpstreamKind kind,
        Set<String> services,
        int capacitySlots,
        Market market,
        boolean checksFencing,
        boolean leaving) {
    public Upstream {
        services = Set.copyOf(services);
        if (capacitySlots < 1) {
            throw new IllegalArgumentException("capacity_slots must be at least 1: " + capacitySlots);
        }
    }

    /** Returns this upstream marked as leaving. */
    public Upstream asLeaving() {
        return new Upstream(id, zone, region, host, port, kind, services, capacitySlots, market, checksFencing, true);
    }
}
