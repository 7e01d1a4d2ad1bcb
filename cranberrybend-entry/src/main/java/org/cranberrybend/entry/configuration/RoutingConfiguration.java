package org.cranberrybend.entry.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cranberrybend.entry.http.ServerLimits;

/** One version of the routing configuration. Immutable; a request uses the same version until its end. */
public final class RoutingConfiguration {
    private static final ServiceTargets NO_TARGETS = new ServiceTargets();

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceTargets> streamTargets;
    private final Map<String, ServiceDefinition> services;
    private final Map<String, AccountEntry> accountsByKey;
    private final Map<String, RegionConstraint> regionsByAccount;
    private final Set<String> constrainedRegions = new HashSet<>();
    private final boolean keysRequired;
    private final ServerLimits callerLimits;

    /**
     * Creates a version.
     *
     * @param accountsByKey client accounts by API key
     * @param keysRequired whether API keys are enforced on routes that do not allow anonymous requests
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
        this.streamTargets = new HashMap<>();
        for (Route route : routes) {
            if (route.streaming()) {
                for (Route.Target target : route.targets()) {
                    streamTargets
                            .computeIfAbsent(target.service(), service -> new ServiceTargets())
                            .add(route);
                }
            }
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.prefix().length())
                .reversed();
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        this.services = new HashMap<>();
        services.forEach(service -> this.services.put(service.name(), service));
        this.accountsByKey = Map.copyOf(accountsByKey);
        this.regionsByAccount = new HashMap<>();
        for (AccountEntry account : accountsByKey.values()) {
            regionsByAccount.merge(account.name(), account.regions(), RegionConstraint::and);
            account.regions().allowed().ifPresent(constrainedRegions::addAll);
        }
        routes.forEach(route -> route.regions().allowed().ifPresent(constrainedRegions::addAll));
        this.keysRequired = keysRequired;
        this.callerLimits = callerLimits;
    }

    /** Returns the number of the version; later versions have higher numbers. */
    public long version() {
        return version;
    }

    /** Returns the limits on requests and connections of callers. */
    public ServerLimits callerLimits() {
        return callerLimits;
    }

    /** Returns whether API keys are enforced on routes that do not allow anonymous requests. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the route of a request: the route of its host with the longest matching prefix. */
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

    /** Returns whether a constraint of a route or a client account names a region. */
    public boolean isNamedInConstraint(String region) {
        return constrainedRegions.contains(region);
    }

    /**
     * Returns the regions in which this version allows a request that an earlier version has admitted. A request of an
     * account or a path that this version does not know is not constrained by it.
     *
     * @param host host of the route under which the request was admitted
     * @param target path and query of the request
     * @param account name of the client account; empty for an anonymous request
     */
    public RegionConstraint regions(String host, String target, Optional<String> account) {
        RegionConstraint ofRoute = route(host, target).map(Route::regions).orElse(RegionConstraint.NONE);
        return account.map(name -> regionsByAccount.getOrDefault(name, RegionConstraint.NONE))
                .orElse(RegionConstraint.NONE)
                .and(ofRoute);
    }

    /** Returns the class of a route's targets among the streaming routes to a service. */
    public LatencyClass latencyClass(Route route, String service) {
        return streamTargets.getOrDefault(service, NO_TARGETS).classOf(route);
    }

    /** Returns a service. */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns all services. */
    public List<ServiceDefinition> services() {
        return List.copyOf(services.values());
    }

    /** Returns the client account that holds an API key. */
    public Optional<AccountEntry> account(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }
}
