package org.cranberrybend.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.platform.standin.StandInConfiguration;
import org.cranberrybend.platform.standin.StandInStore;

/** Writes configurations. Each version adds a route, by which a request shows whether an instance applies it. */
final class Operator {
    static final String API_KEY = "key-of-alpha";

    private final StandInStore store;
    private int version;

    Operator(StandInStore store) {
        this.store = store;
    }

    /** Returns a path on the route that a version added. */
    static String pathOfVersion(int version) {
        return "/version-" + version + "/look";
    }

    synchronized int version() {
        return version;
    }

    /** Requests that nothing more is sent to the upstreams of a zone. */
    void evacuate(String zone) {
        store.put(StandInConfiguration.EVACUATION_PREFIX + zone, new byte[0]);
    }

    /** Returns a zone to service. */
    void endEvacuation(String zone) {
        store.delete(StandInConfiguration.EVACUATION_PREFIX + zone);
    }

    /** Writes the next version to the key-value store. */
    synchronized void writeNextVersion() {
        int next = version + 1;
        List<Map<String, Object>> routes = new ArrayList<>();
        for (RequestKind kind : RequestKind.values()) {
            routes.add(StandInConfiguration.route(
                    kind.name(),
                    kind.prefix(),
                    kind.routeType(),
                    kind.isResumable(),
                    kind.service(),
                    SoakBounds.ROUTE_TIMEOUT_MS));
        }
        for (int added = 1; added <= next; added++) {
            String path = pathOfVersion(added);
            routes.add(StandInConfiguration.route(
                    "version-" + added,
                    path.substring(0, path.lastIndexOf('/') + 1),
                    RequestKind.LOOKUP.routeType(),
                    false,
                    RequestKind.LOOKUP.service(),
                    SoakBounds.ROUTE_TIMEOUT_MS));
        }
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("version", next * 3);
        configuration.put("routes", routes);
        configuration.putAll(
                StandInConfiguration.servicesAndAccounts(List.of("model", "desk"), Map.of(Promises.ACCOUNT, API_KEY)));
        store.put(StandInConfiguration.KEY, Json.write(configuration));
        version = next;
    }
}
