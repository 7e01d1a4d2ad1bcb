package org.cranberrybend.runtime.platform;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;

/**
 * An instance in the platform's list.
 *
 * @param id name
 * @param entry whether it is an entry instance; otherwise it is an upstream
 * @param zone availability zone
 * @param region region
 * @param leaving whether it is about to end
 * @param host IP address
 * @param port TCP port
 * @param engine whether an upstream is an engine; otherwise it is a plain service
 * @param services models of an engine, or the one service of a plain service
 * @param capacitySlots requests that an upstream runs at a time
 * @param preemptible whether the platform may reclaim it
 * @param checksFencing whether it rejects orders with a stale fencing number
 */
public record PlatformInstance(
        String id,
        boolean entry,
        String zone,
        String region,
        boolean leaving,
        String host,
        int port,
        boolean engine,
        List<String> services,
        int capacitySlots,
        boolean preemptible,
        boolean checksFencing) {
    public PlatformInstance {
        services = List.copyOf(services);
    }

    /** Returns the upstream, or empty for an entry instance and for an entry that is not usable. */
    public Optional<Upstream> toUpstream() {
        if (entry || id.isEmpty() || host.isEmpty() || port < 1 || services.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Upstream(
                id,
                zone,
                region,
                host,
                port,
                engine ? UpstreamKind.ENGINE : UpstreamKind.SERVICE,
                Set.copyOf(services),
                Math.max(1, capacitySlots),
                preemptible ? Market.PREEMPTIBLE : Market.GUARANTEED,
                checksFencing,
                leaving));
    }
}
