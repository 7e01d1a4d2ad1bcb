package org.cranberrybend.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Lists;
import java.io.IOException;
import java.util.List;
import org.cranberrybend.ctl.client.CommandException;
import org.cranberrybend.ctl.client.FleetMembers;
import org.cranberrybend.runtime.http.HttpResult;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/** Commands that show the state of the fleet and change nothing. */
final class InspectCommands {
    private InspectCommands() {}

    static void status(CommandContext context) throws CommandException {
        context.out().print(context.format().object(context.client().get("/v1/status")));
    }

    static void members(CommandContext context) throws CommandException {
        List<JsonNode> rows = FleetMembers.fetch(context.client());
        context.out()
                .print(context.format()
                        .rows(List.of("id", "zone", "state", "incarnation", "peer_address", "admin_address"), rows));
    }

    static void usage(CommandContext context) throws CommandException {
        JsonNode usage = context.client().get("/v1/usage");
        JsonNode windows = usage.isArray() ? usage : usage.path("windows");
        context.out().print(context.format().rows(List.of("window", "state", "counters"), Lists.newArrayList(windows)));
    }

    static void explain(CommandContext context) throws CommandException {
        if (context.line().hasOption(TimelineCommand.LOGS)) {
            TimelineCommand.explainFromLogs(context);
            return;
        }
        JsonNode explanation = context.client().get("/v1/explain/" + context.argument(0, "REQUEST"));
        JsonNode events = explanation.isArray() ? explanation : explanation.path("events");
        context.out()
                .print(context.format()
                        .rows(
                                List.of("stamp", "instance", "role", "event", "name", "fields"),
                                Lists.newArrayList(events)));
    }

    static void metrics(CommandContext context) throws CommandException {
        String memberId = context.argument(0, "MEMBER");
        JsonNode member = FleetMembers.find(context.client(), memberId);
        try {
            HttpResult result =
                    context.client().getAdmin(member.path("admin_address").asText(), "/metrics");
            context.out().print(result.text());
        } catch (IOException e) {
            throw new CommandException(ExitCode.UNREACHABLE, memberId + " cannot be reached: " + e.getMessage());
        }
    }
}
