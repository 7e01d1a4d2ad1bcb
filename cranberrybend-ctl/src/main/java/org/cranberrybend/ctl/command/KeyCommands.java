package org.cranberrybend.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Lists;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.EntityId;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.ctl.client.CommandException;
import org.cranberrybend.ctl.client.FleetConfiguration;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/** Commands that issue, list, revoke and rotate API keys. */
final class KeyCommands {
    private KeyCommands() {}

    static void run(CommandContext context) throws CommandException {
        String action = context.argument(0, "ACTION");
        String account = context.argument(1, "ACCOUNT");
        switch (action) {
            case "issue" -> issue(context, account);
            case "list" -> list(context, account);
            case "revoke" -> revoke(context, account, context.argument(2, "KEY_ID"));
            case "rotate" -> rotate(context, account, context.argument(2, "KEY_ID"));
            default -> throw new CommandException(
                    ExitCode.USAGE, "key: action must be issue, list, revoke or rotate: " + action);
        }
    }

    private static void issue(CommandContext context, String account) throws CommandException {
        rejectDryRun(context);
        JsonNode issued = context.client().post("/v1/accounts/" + account + "/keys", Map.of());
        context.out().print(context.format().object(issued));
    }

    private static void list(CommandContext context, String account) throws CommandException {
        JsonNode value =
                FleetConfiguration.fetch(context.client()).entities().get(new EntityId(EntityKind.ACCOUNT, account));
        if (value == null) {
            throw new CommandException(ExitCode.NOT_FOUND, "account/" + account + " does not exist");
        }
        List<JsonNode> keys = Lists.newArrayList(value.path("keys"));
        context.out().print(context.format().rows(List.of("key_id", "revoked"), keys));
    }

    private static void revoke(CommandContext context, String account, String keyId) throws CommandException {
        rejectDryRun(context);
        JsonNode result = context.client().delete("/v1/accounts/" + account + "/keys/" + keyId);
        context.out().print(context.format().object(result));
    }

    /** Issues the new key before the old one is revoked, so that a failure in between leaves a working key. */
    private static void rotate(CommandContext context, String account, String keyId) throws CommandException {
        issue(context, account);
        if (context.line().hasOption("revoke-old")) {
            revoke(context, account, keyId);
        } else {
            context.out().println("key " + keyId + " still works; revoke it once callers use the new one");
        }
    }

    private static void rejectDryRun(CommandContext context) throws CommandException {
        if (context.dryRun()) {
            throw new CommandException(ExitCode.USAGE, "--dry-run does not apply to keys");
        }
    }
}
