package org.cranberrybend.entry.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.entry.http.ServerLimits;

/** One version of the configuration. Immutable; a request keeps the version that it began with. */
public final class RoutingConfiguration {
    /** Factor to the tightest target of a service up to which a target is tight too. */
    private static final double URGENT_RATIO = 2;

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Long> tightestTargetMs;
    private final Map<String, ServiceDefinition> services;
    private final Map<String, AccountEntry> accountsByKey;
    private final boolean keysRequired;
    private final ServerLimits callerLimits;

    /**
     * Creates a version.
     *
     * @param accountsByKey client accounts by API key
     * @param keysRequired whether requests on routes that are not open need a key
     */
    public RoutingConfiguration(
            long version,
            List<Route> routes,
            List<ServiceDefinition> services,
            Map<String, AccountEntry> accountsByKey,
            boolean keysRequired,
            ServerLimits callerLimits) {
        this.version = version;
        this.routesByHost = new HashMap<>();
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host(), host -> new ArrayList<>())
                    .add(route);
        }
        this.tightestTargetMs = new HashMap<>();
        for (Route route : routes) {
            if (route.streaming()) {
                route.targets()
                        .forEach(
                                target -> tightestTargetMs.merge(target.service(), route.targetLatencyMs(), Math::min));
            }
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.prefix().length())
                .reversed();
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        this.services = new HashMap<>();
        services.forEach(service -> this.services.put(service.name(), service));
        this.accountsByKey = Map.copyOf(accountsByKey);
        this.keysRequired = keysRequired;
        this.callerLimits = callerLimits;
    }

    /** Returns the version; a later configuration has a higher one. */
    public long version() {
        return version;
    }

    /** Returns the limits of what callers may send. */
    public ServerLimits callerLimits() {
        return callerLimits;
    }

    /** Returns whether requests on routes that are not open need a key. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the route of a request: of those of its host, the one with the longest prefix. */
    public Optional<Route> route(String hostHeader, String target) {
        String host = hostHeader.trim().toLowerCase(Locale.ROOT);
        int port = host.lastIndexOf(':');
        List<Route> candidates = routesByHost.get(port < 0 ? host : host.substring(0, port));
        if (candidates == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        return candidates.stream()
                .filter(route -> path.startsWith(route.prefix()))
                .findFirst();
    }

    /** Returns whether a route's target is tight among those of the streaming routes of a service. */
    public boolean isUrgent(Route route, String service) {
        return route.targetLatencyMs() <= URGENT_RATIO * tightestTargetMs.getOrDefault(service, 0L);
    }

    /** Returns a service. */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns all services. */
    public List<ServiceDefinition> services() {
        return List.copyOf(services.values());
    }

    /** Returns the account that holds a key. */
    public Optional<AccountEntry> account(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }
}
