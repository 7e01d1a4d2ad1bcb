package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;

/**
 * Contents of a fleet.json: addresses and keys of a running fleet, written by bin/cranberrybend-local.
 *
 * @param operatorToken token of the operator API
 * @param callerKeys API keys by client account, one for each
 * @param processes processes in the order of their start
 */
public record FleetFile(String operatorToken, Map<String, String> callerKeys, List<FleetMember> processes) {
    /**
     * A process of the fleet.
     *
     * @param name name that is unique in the fleet
     * @param role router, controller, platform, engine or service
     * @param zone availability zone; empty for the platform
     * @param addresses addresses in the form {@code host:port} by purpose, such as caller, operator, admin or http
     */
    public record FleetMember(String name, String role, String zone, Map<String, String> addresses) {
        /** Returns the address for a purpose, or null if the process has none. */
        public String address(String purpose) {
            return addresses.get(purpose);
        }
    }

    /** Reads a fleet.json. */
    public static FleetFile read(Path file) throws IOException {
        JsonNode json = CanonicalJson.mapper().readTree(Files.readString(file));
        List<FleetMember> processes = new ArrayList<>();
        for (JsonNode each : json.path("processes")) {
            processes.add(new FleetMember(
                    each.path("name").asText(),
                    each.path("role").asText(),
                    each.path("zone").asText(),
                    strings(each.path("addresses"))));
        }
        return new FleetFile(json.path("operator_token").asText(), strings(json.path("caller_keys")), processes);
    }

    private static Map<String, String> strings(JsonNode object) {
        Map<String, String> strings = new LinkedHashMap<>();
        object.properties()
                .forEach(each -> strings.put(each.getKey(), each.getValue().asText()));
        return strings;
    }

    /** Returns the processes with the given role. */
    public List<FleetMember> withRole(String role) {
        return processes.stream().filter(each -> each.role().equals(role)).toList();
    }
}
