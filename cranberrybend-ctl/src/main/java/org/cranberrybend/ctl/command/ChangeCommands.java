package org.cranberrybend.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.EntityId;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.ctl.client.CommandException;
import org.cranberrybend.ctl.client.FleetConfiguration;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/**
 * Commands that read and change configuration entities. Every write contains the revision that was read, or the one
 * given by the operator, so that it cannot overwrite a change that the operator has not seen.
 */
final class ChangeCommands {
    private ChangeCommands() {}

    static void list(CommandContext context) throws CommandException {
        EntityKind kind = kind(context.argument(0, "KIND"));
        List<JsonNode> rows = FleetConfiguration.fetch(context.client()).entities().entrySet().stream()
                .filter(entry -> entry.getKey().kind() == kind)
                .map(entry -> FleetConfiguration.change(entry.getKey(), entry.getValue()))
                .toList();
        context.out().print(context.format().rows(List.of("name", "value"), rows));
    }

    static void get(CommandContext context) throws CommandException {
        EntityId id = id(context);
        JsonNode value = FleetConfiguration.fetch(context.client()).entities().get(id);
        if (value == null) {
            throw new CommandException(ExitCode.NOT_FOUND, id + " does not exist");
        }
        context.out().print(context.format().object(value));
    }

    static void set(CommandContext context) throws CommandException {
        JsonNode value = readJson(Path.of(context.argument(2, "FILE")));
        long revision = FleetConfiguration.fetch(context.client()).revision();
        submit(context, revision, List.of(FleetConfiguration.change(id(context), value)));
    }

    static void delete(CommandContext context) throws CommandException {
        FleetConfiguration current = FleetConfiguration.fetch(context.client());
        EntityId id = id(context);
        if (!current.entities().containsKey(id)) {
            throw new CommandException(ExitCode.NOT_FOUND, id + " does not exist");
        }
        submit(context, current.revision(), List.of(FleetConfiguration.change(id, null)));
    }

    static void diff(CommandContext context) throws CommandException {
        printChanges(context, FleetConfiguration.fetch(context.client()), desiredConfiguration(context));
    }

    static void apply(CommandContext context) throws CommandException {
        FleetConfiguration current = FleetConfiguration.fetch(context.client());
        List<JsonNode> changes =
                current.changesTo(desiredConfiguration(context), context.line().hasOption("prune"));
        if (changes.isEmpty()) {
            context.out().println("no change; revision " + current.revision());
            return;
        }
        submit(context, current.revision(), changes);
    }

    static void validate(CommandContext context) throws CommandException {
        FleetConfiguration current = FleetConfiguration.fetch(context.client());
        List<JsonNode> changes =
                current.changesTo(desiredConfiguration(context), context.line().hasOption("prune"));
        if (!changes.isEmpty()) {
            context.client().post("/v1/changes", request(context, current.revision(), changes, true));
        }
        context.out().println("the configuration is valid");
    }

    private static void printChanges(CommandContext context, FleetConfiguration current, FleetConfiguration desired) {
        List<JsonNode> changes = current.changesTo(desired, context.line().hasOption("prune"));
        context.out().print(context.format().rows(List.of("kind", "name", "value"), changes));
    }

    private static FleetConfiguration desiredConfiguration(CommandContext context) throws CommandException {
        return FleetConfiguration.readFile(Path.of(context.argument(0, "FILE")));
    }

    private static void submit(CommandContext context, long revision, List<JsonNode> changes) throws CommandException {
        JsonNode result = context.client().post("/v1/changes", request(context, revision, changes, context.dryRun()));
        context.out().print(context.format().object(result));
    }

    private static Map<String, Object> request(
            CommandContext context, long revision, List<JsonNode> changes, boolean dryRun) throws CommandException {
        return Map.of(
                "seen_revision",
                seenRevision(context, revision),
                "author",
                context.client().author(),
                "changes",
                changes,
                "dry_run",
                dryRun);
    }

    private static long seenRevision(CommandContext context, long current) throws CommandException {
        String seen = context.option("seen-revision", Long.toString(current));
        try {
            return Long.parseLong(seen);
        } catch (NumberFormatException e) {
            throw new CommandException(ExitCode.USAGE, "--seen-revision must be a number: " + seen);
        }
    }

    private static EntityId id(CommandContext context) throws CommandException {
        try {
            return new EntityId(kind(context.argument(0, "KIND")), context.argument(1, "NAME"));
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, e.getMessage());
        }
    }

    private static EntityKind kind(String name) throws CommandException {
        try {
            return EntityKind.of(name);
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, e.getMessage());
        }
    }

    private static JsonNode readJson(Path file) throws CommandException {
        try {
            return CanonicalJson.mapper().readTree(Files.readString(file));
        } catch (IOException e) {
            throw new CommandException(ExitCode.INVALID, file + ": " + e.getMessage());
        }
    }
}
