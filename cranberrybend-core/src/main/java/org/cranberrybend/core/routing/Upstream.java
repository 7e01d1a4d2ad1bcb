package org.cranberrybend.core.routing;

import java.util.Set;

/**
 * An upstream as announced by the platform's list of instances.
 *
 * @param id name of the upstream instance
 * @param zone availability zone
 * @param region region
 * @param host IP address
 * @param port TCP port
 * @param kind engine or plain service
 * @param services names of the models of an engine, or the one name of a plain service
 * @param capacitySlots requests that it runs at a time without queueing
 * @param market terms under which it runs
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
