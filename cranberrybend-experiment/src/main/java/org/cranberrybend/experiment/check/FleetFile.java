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
 * Addresses and keys of a running fleet, as bin/cranberrybend-local writes them.
 *
 * @param operatorToken token of the operators' interface
 * @param callerKeys one key per client account
 * @param processes processes in the order in which they were started
 */
public record FleetFile(String operatorToken, Map<String, String> callerKeys, List<FleetMember> processes) {
    /**
     * A process of the fleet.
     *
     * @param name name, unique in the fleet
     * @param role router, controller, platform, engine or service
     * @param zone availability zone; empty for the platform
     * @param addresses {@code host:port} by purpose
     */
    public record FleetMember(String name, String role, String zone, Map<String, String> addresses) {
        /** Returns an address by its purpose. */
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
                    texts(each.path("addresses"))));
        }
        return new FleetFile(json.path("operator_token").asText(), texts(json.path("caller_keys")), processes);
    }

    private static Map<String, String> texts(JsonNode object) {
        Map<String, String> texts = new LinkedHashMap<>();
        object.properties()
                .forEach(each -> texts.put(each.getKey(), each.getValue().asText()));
        return texts;
    }

    /** Returns the processes of a role. */
    public List<FleetMember> withRole(String role) {
        return processes.stream().filter(each -> each.role().equals(role)).toList();
    }
}
