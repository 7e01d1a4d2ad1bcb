package org.cranberrybend.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Lists;
import java.util.List;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/** Members of the fleet, as known to the controller that responds. */
public final class FleetMembers {
    private FleetMembers() {}

    /** Returns all members that are not dead. */
    public static List<JsonNode> fetch(ControllerClient client) throws CommandException {
        JsonNode json = client.get("/v1/members");
        return Lists.newArrayList(json.isArray() ? json : json.path("members"));
    }

    /** Returns the member with the given identifier, {@code instance/role}. */
    public static JsonNode find(ControllerClient client, String memberId) throws CommandException {
        return fetch(client).stream()
                .filter(member -> member.path("id").asText().equals(memberId))
                .findFirst()
                .orElseThrow(() -> new CommandException(ExitCode.NOT_FOUND, "member " + memberId + " does not exist"));
    }
}
