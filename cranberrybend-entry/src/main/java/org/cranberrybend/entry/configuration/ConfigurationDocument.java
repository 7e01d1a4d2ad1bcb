package org.cranberrybend.entry.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.entry.http.ServerLimits;

/**
 * One version of the routing configuration as written, with the entries that never match. An instance keeps only the
 * {@link #routing() routing configuration}; the check of a configuration needs the whole document.
 *
 * @param version number of the version
 * @param routes routes in the order of the document
 * @param services services in the order of the document
 * @param accounts client accounts in the order of the document
 * @param keysRequired whether API keys are enforced on routes that do not allow anonymous requests
 * @param callerLimits limits on requests and connections of callers
 */
public record ConfigurationDocument(
        long version,
        List<Route> routes,
        List<ServiceDefinition> services,
        List<AccountDefinition> accounts,
        boolean keysRequired,
        ServerLimits callerLimits) {
    public ConfigurationDocument {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
    }

    /** Returns the configuration by which requests are routed; the last account that lists an API key holds it. */
    public RoutingConfiguration routing() {
        Map<String, AccountEntry> accountsByKey = new HashMap<>();
        for (AccountDefinition account : accounts) {
            account.keys().forEach(key -> accountsByKey.put(key, account.entry()));
        }
        return new RoutingConfiguration(version, routes, services, accountsByKey, keysRequired, callerLimits);
    }
}
