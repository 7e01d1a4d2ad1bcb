package org.cranberrybend.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.platform.standin.StandInConfiguration;
import org.cranberrybend.platform.standin.StandInStore;

/** Writes configurations; each version adds a route by whose answers it can be told. */
final class Operator {
    static final String KEY = "key-of-alpha";

    private final StandInStore store;
    private int version;

    Operator(StandInStore store) {
        this.store = store;
    }

    /** Returns the path of the route that a version brought. */
    static String pathOf(int version) {
        return "/version-" + version + "/look";
    }

    synchronized int version() {
        return version;
    }

    /** Writes the next version; returns when the store has taken it. */
    synchronized void change() {
        int next = version + 1;
        List<Map<String, Object>> routes = new ArrayList<>();
        for (RequestKind kind : RequestKind.values()) {
            routes.add(StandInConfiguration.route(
                    kind.name(),
                    kind.prefix(),
                    kind.routeType(),
                    kind.resumable(),
                    kind.service(),
                    SoakBounds.ROUTE_TIMEOUT_MS));
        }
        for (int each = 1; each <= next; each++) {
            String path = pathOf(each);
            routes.add(StandInConfiguration.route(
                    "version-" + each,
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
                StandInConfiguration.servicesAndAccounts(List.of("model", "desk"), Map.of(Promises.ACCOUNT, KEY)));
        store.put(StandInConfiguration.KEY, Json.write(configuration));
        version = next;
    }
}
