package org.cranberrybend.entry.upstream;

import java.net.InetSocketAddress;
import org.cranberrybend.core.routing.Market;

/**
 * The entry of an upstream in the store.
 *
 * @param id identifier of the upstream; a replacement usually has a new one
 * @param service service that it belongs to
 * @param address address; reused by other upstreams after this one has ended
 * @param zone availability zone
 * @param slots number of requests that it executes at the same time
 * @param leaving whether it is draining and must receive no new requests
 * @param market market in which it was ordered
 * @param startedAtMs start of this incarnation in milliseconds since the epoch; 0 if unknown
 * @param warmUpRemainingMs remaining warm-up time during which it is slow, in milliseconds
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
        long warmUpRemainingMs) {
    /** Returns whether another entry differs at most in the remaining warm-up time, which falls by itself. */
    boolean equalsExceptWarmUp(UpstreamRecord other) {
        return withoutWarmUp().equals(other.withoutWarmUp());
    }

    private UpstreamRecord withoutWarmUp() {
        return new UpstreamRecord(id, service, address, zone, slots, leaving, market, startedAtMs, 0);
    }
}
