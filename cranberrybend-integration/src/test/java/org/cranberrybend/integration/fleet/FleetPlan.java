package org.cranberrybend.integration.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Size and settings of a fleet in one availability zone.
 *
 * @param routers number of routers
 * @param controllers number of controllers
 * @param engines number of engines
 * @param services number of plain services
 * @param settings additional settings by role
 */
record FleetPlan(int routers, int controllers, int engines, int services, Map<String, Map<String, Object>> settings) {
    static FleetPlan of(int routers, int controllers, int engines, int services) {
        return new FleetPlan(routers, controllers, engines, services, Map.of());
    }

    /** Returns a copy with an additional setting for every process of a role. */
    FleetPlan with(String role, String setting, Object value) {
        Map<String, Map<String, Object>> extended = new HashMap<>(settings);
        Map<String, Object> ofRole = new HashMap<>(extended.getOrDefault(role, Map.of()));
        ofRole.put(setting, value);
        extended.put(role, ofRole);
        return new FleetPlan(routers, controllers, engines, services, extended);
    }

    int count(String role) {
        return switch (role) {
            case "router" -> routers;
            case "controller" -> controllers;
            case "engine" -> engines;
            case "service" -> services;
            default -> 1;
        };
    }
}
