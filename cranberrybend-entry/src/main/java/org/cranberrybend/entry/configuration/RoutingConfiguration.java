package org.cranberrybend.entry.configuration;

import com.google.common.base.Ascii;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cranberrybend.entry.http.HeaderText;
import org.cranberrybend.entry.http.ServerLimits;

/** One version of the routing configuration. Immutable; a request uses the same version until its end. */
public final class RoutingConfiguration {
    private static final ServiceTargets NO_TARGETS = new ServiceTargets();

    private final long version;
    private final Map<String, List<PrefixRoute>> routesByHost;
    private final Map<String, ServiceTargets> streamTargets;
    private final Map<String, ServiceDefinition> services;
    /** Accounts by API key as it stands in a head. */
    private final Map<String, AccountEntry> accountsByKey = new HashMap<>();

    private final Map<String, RegionConstraint> regionsByAccount;
    private final Set<String> constrainedRegions = new HashSet<>();
    private final boolean keysRequired;
    private final ServerLimits callerLimits;

    /** A route and its prefix as it stands in a head. */
    private record PrefixRoute(String prefix, Route route) {}

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
        routes.forEach(this::addRoute);
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
        Comparator<PrefixRoute> longestFirst = Comparator.comparingInt(
                        (PrefixRoute route) -> route.prefix().length())
                .reversed();
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        this.services = new HashMap<>();
        services.forEach(service -> this.services.put(service.name(), service));
        accountsByKey.forEach(
                (key, account) -> HeaderText.encode(key).ifPresent(text -> this.accountsByKey.put(text, account)));
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

    /** Adds a route unless no request can have its host or prefix. */
    private void addRoute(Route route) {
        Optional<String> host = HeaderText.encode(route.host());
        Optional<String> prefix = HeaderText.encode(route.prefix());
        if (host.isPresent() && prefix.isPresent()) {
            routesByHost
                    .computeIfAbsent(host.get(), each -> new ArrayList<>())
                    .add(new PrefixRoute(prefix.get(), route));
        }
    }

    /**
     * Returns the route of a request: the route of its host with the longest matching prefix.
     *
     * @param hostHeader host as it stands in the head
     * @param target path and query as they stand in the head
     */
    public Optional<Route> route(String hostHeader, String target) {
        // Other letters than those of ASCII are parts of a character here.
        String host = Ascii.toLowerCase(hostHeader.trim());
        int port = host.lastIndexOf(':');
        return routeOfHost(port < 0 ? host : host.substring(0, port), target);
    }

    private Optional<Route> routeOfHost(String host, String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(candidate -> path.startsWith(candidate.prefix()))
                .map(PrefixRoute::route)
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
     * @param host host, as configured, of the route under which the request was admitted
     * @param target path and query of the request
     * @param account name of the client account; empty for an anonymous request
     */
    public RegionConstraint regions(String host, String target, Optional<String> account) {
        RegionConstraint ofRoute = HeaderText.encode(host)
                .flatMap(hostText -> routeOfHost(hostText, target))
                .map(Route::regions)
                .orElse(RegionConstraint.NONE);
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

    /** Returns the client account that holds an API key, which is given as it stands in a head. */
    public Optional<AccountEntry> account(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }
}
