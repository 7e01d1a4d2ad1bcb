package org.cranberrybend.standins.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Set;

/**
 * An entry of the platform's instance list.
 *
 * @param id name of the instance
 * @param role {@code entry} or {@code upstream}
 * @param zone availability zone
 * @param region region
 * @param state {@code live} or {@code leaving}
 * @param host IP address
 * @param port TCP port; for an entry instance, the peer port of its router
 * @param kind {@code engine} or {@code service}; null for entry instances
 * @param service name of the plain service; null for others
 * @param models models of an engine; null for others
 * @param capacitySlots maximum number of concurrent requests of an upstream; null for entry instances
 * @param market {@code guaranteed} or {@code preemptible}; null for entry instances
 * @param checksFencing whether an upstream rejects stale fencing numbers; null for entry instances
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record InstanceEntry(
        String id,
        String role,
        String zone,
        String region,
        String state,
        String host,
        int port,
        String kind,
        String service,
        List<String> models,
        Integer capacitySlots,
        String market,
        Boolean checksFencing) {
    public InstanceEntry {
        requireOneOf("role", role, Set.of("entry", "upstream"));
        state = state == null ? "live" : state;
        requireOneOf("state", state, Set.of("live", "leaving"));
        if (id == null || id.isEmpty() || zone == null || region == null || host == null) {
            throw new IllegalArgumentException("an instance needs id, zone, region and host");
        }
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port must be between 1 and 65535: " + port);
        }
        if (role.equals("upstream")) {
            requireOneOf("kind", kind, Set.of("engine", "service"));
            market = market == null ? "guaranteed" : market;
            requireOneOf("market", market, Set.of("guaranteed", "preemptible"));
            checksFencing = checksFencing != null && checksFencing;
            capacitySlots = capacitySlots == null ? 1 : capacitySlots;
        }
        models = models == null ? null : List.copyOf(models);
    }

    private static void requireOneOf(String field, String value, Set<String> allowed) {
        if (value == null || !allowed.contains(value)) {
            throw new IllegalArgumentException(field + " must be one of " + allowed + ": " + value);
        }
    }

    /** Returns a copy of this entry with another state. */
    public InstanceEntry withState(String newState) {
        return new InstanceEntry(
                id,
                role,
                zone,
                region,
                newState,
                host,
                port,
                kind,
                service,
                models,
                capacitySlots,
                market,
                checksFencing);
    }
}
