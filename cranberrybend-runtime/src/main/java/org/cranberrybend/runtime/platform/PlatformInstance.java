package org.cranberrybend.runtime.platform;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;

/**
 * An instance in the platform's instance list.
 *
 * @param id identifier
 * @param entry whether it is an entry instance; otherwise it is an upstream
 * @param zone availability zone
 * @param region region
 * @param leaving whether it is about to shut down
 * @param host IP address
 * @param port TCP port
 * @param engine whether an upstream is a model engine; otherwise it is a plain service
 * @param services names of the models of an engine, or the name of a plain service
 * @param capacitySlots number of requests that an upstream executes concurrently
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

    /** Returns the upstream; empty for an entry instance, and if the identifier, address or services are missing. */
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
