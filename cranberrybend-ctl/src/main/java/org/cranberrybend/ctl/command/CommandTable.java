package org.cranberrybend.ctl.command;

import java.util.Map;
import java.util.TreeMap;

/** All commands by name, with the lines shown by {@code --help}. */
public final class CommandTable {
    private static final Map<String, Entry> ENTRIES = new TreeMap<>(Map.ofEntries(
            Map.entry(
                    "list",
                    new Entry(
                            "KIND",
                            "list template, account, route, model, zone or setting entities",
                            ChangeCommands::list)),
            Map.entry("get", new Entry("KIND NAME", "print one entity", ChangeCommands::get)),
            Map.entry("set", new Entry("KIND NAME FILE", "create or replace one entity", ChangeCommands::set)),
            Map.entry("delete", new Entry("KIND NAME", "remove one entity", ChangeCommands::delete)),
            Map.entry(
                    "validate",
                    new Entry("FILE", "check a whole configuration against the fleet's", ChangeCommands::validate)),
            Map.entry(
                    "config",
                    new Entry("check NEW", "check a configuration file of entry instances", ConfigCommand::run)),
            Map.entry("diff", new Entry("FILE", "show what apply would change", ChangeCommands::diff)),
            Map.entry("apply", new Entry("FILE", "apply a whole configuration", ChangeCommands::apply)),
            Map.entry(
                    "key",
                    new Entry("issue|list|revoke|rotate ACCOUNT [KEY_ID]", "manage callers' keys", KeyCommands::run)),
            Map.entry("status", new Entry("", "show the state of the fleet", InspectCommands::status)),
            Map.entry("members", new Entry("", "list the processes of the fleet", InspectCommands::members)),
            Map.entry("usage", new Entry("", "list usage windows", InspectCommands::usage)),
            Map.entry(
                    "explain",
                    new Entry("REQUEST", "show why a request was routed, queued or refused", InspectCommands::explain)),
            Map.entry("metrics", new Entry("MEMBER", "print the metrics of a process", InspectCommands::metrics)),
            Map.entry(
                    "timeline",
                    new Entry("", "print the events of all processes in causal order", TimelineCommand::run)),
            Map.entry("completion", new Entry("", "print shell completion for bash", CompletionCommand::run))));

    private CommandTable() {}

    /**
     * A command and its help.
     *
     * @param arguments arguments as shown in the help
     * @param description what the command does
     * @param command the command
     */
    public record Entry(String arguments, String description, Command command) {}

    /** Returns all commands by name, in no particular order. */
    public static Map<String, Entry> entries() {
        return Map.copyOf(ENTRIES);
    }

    /** Returns the help text of all commands. */
    public static String help() {
        StringBuilder text = new StringBuilder("Commands:\n");
        ENTRIES.forEach((name, entry) ->
                text.append(String.format("  %-52s %s%n", name + " " + entry.arguments(), entry.description())));
        return text.toString();
    }
}
