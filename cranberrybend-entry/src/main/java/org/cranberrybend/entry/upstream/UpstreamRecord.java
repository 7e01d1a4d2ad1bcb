package org.cranberrybend.entry.upstream;

import java.net.InetSocketAddress;
import org.cranberrybend.core.routing.Market;

/**
 * An upstream as the platform lists it.
 *
 * @param id identifier of the upstream; a replacement mostly has a new one
 * @param service service that it belongs to
 * @param address address; used again by other upstreams after this one has ended
 * @param zone availability zone
 * @param slots requests that it runs at the same time
 * @param leaving whether it receives no new requests
 * @param market market in which it was ordered
 * @param startedAtMs start of this incarnation in milliseconds since the epoch; 0 if unknown
 * @param warmUpRemainingMs time for which it is still slow after its start, in milliseconds
 */
public record UpstreamRecord(
        String id,
        String service,
        InetSocketAddress address,
        String zone,
        int slots,
        boolean leaving,
        Market market,
        long startedAtMs,
        long warmUpRemainingMs) {}
