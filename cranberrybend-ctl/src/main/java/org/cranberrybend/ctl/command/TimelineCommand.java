package org.cranberrybend.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.error.Severity;
import org.cranberrybend.core.event.TimelineEntry;
import org.cranberrybend.core.event.TimelineFilter;
import org.cranberrybend.core.event.TimelineMerger;
import org.cranberrybend.ctl.client.CommandException;
import org.cranberrybend.ctl.client.FleetMembers;
import org.cranberrybend.ctl.render.OutputFormat;
import org.cranberrybend.ctl.render.TimelineHtml;
import org.cranberrybend.ctl.render.TimelineText;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/**
 * Prints the events of all reachable processes, or of log files, in causal order. Unreachable processes, missing events
 * and log lines without an event are reported on standard error.
 */
final class TimelineCommand {
    /** Option that names log files to be read instead of the processes. */
    static final String LOGS = "logs";

    private TimelineCommand() {}

    static void run(CommandContext context) throws CommandException {
        TimelineFilter filter = filter(context);
        if (context.line().hasOption(LOGS)) {
            print(context, TimelineMerger.merge(readLogs(context), filter));
            return;
        }
        List<TimelineEntry> entries = new ArrayList<>();
        List<String> unreachable = new ArrayList<>();
        for (JsonNode member : FleetMembers.fetch(context.client())) {
            readEvents(context, member, entries, unreachable);
        }
        print(context, TimelineMerger.merge(entries, filter));
        unreachable.forEach(memberId -> System.err.println("not reached: " + memberId));
        TimelineMerger.gaps(entries)
                .forEach(
                        gap -> System.err.println("events no longer kept: " + gap.missing() + " of " + gap.memberId()));
    }

    /** Prints the events that explain a request, selected from log files. */
    static void explainFromLogs(CommandContext context) throws CommandException {
        String requestId = context.argument(0, "REQUEST");
        List<TimelineEntry> explanation = RequestExplanation.of(requestId, readLogs(context));
        if (explanation.isEmpty()) {
            throw new CommandException(ExitCode.NOT_FOUND, "no event of request " + requestId + " in the logs");
        }
        print(context, explanation);
    }

    private static List<TimelineEntry> readLogs(CommandContext context) throws CommandException {
        LogEvents events = LogEvents.read(context.line().getOptionValues(LOGS), System.in);
        if (events.skippedLines() > 0) {
            System.err.println("lines that are no events: " + events.skippedLines());
        }
        return events.entries();
    }

    private static void print(CommandContext context, List<TimelineEntry> merged) {
        if (context.line().hasOption("html")) {
            context.out().print(TimelineHtml.write(merged));
        } else if (context.format() == OutputFormat.JSON) {
            context.out().println(CanonicalJson.write(merged));
        } else {
            context.out().print(TimelineText.write(merged));
        }
    }

    private static void readEvents(
            CommandContext context, JsonNode member, List<TimelineEntry> entries, List<String> unreachable) {
        String memberId = member.path("id").asText();
        try {
            JsonNode events = context.client()
                    .getAdmin(member.path("admin_address").asText(), "/admin/events")
                    .json();
            events.forEach(event -> entries.add(TimelineEntry.fromJson(event)));
        } catch (IOException e) {
            unreachable.add(memberId);
        }
    }

    private static TimelineFilter filter(CommandContext context) throws CommandException {
        return new TimelineFilter(
                context.option("subject", ""),
                context.option("account", ""),
                context.option("zone", ""),
                context.option("member", ""),
                sinceMs(context.option("since", "")),
                severity(context.option("severity", "")));
    }

    private static String severity(String name) throws CommandException {
        boolean known = name.isEmpty()
                || Arrays.stream(Severity.values()).anyMatch(each -> each.name().equals(name));
        if (!known) {
            throw new CommandException(ExitCode.USAGE, "--severity must be INFO, WARNING or ERROR: " + name);
        }
        return name;
    }

    private static long sinceMs(String since) throws CommandException {
        if (since.isEmpty()) {
            return 0;
        }
        try {
            return since.startsWith("P")
                    ? Instant.now().minus(Duration.parse(since)).toEpochMilli()
                    : Instant.parse(since).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new CommandException(
                    ExitCode.USAGE, "--since must be a time such as 2026-12-04T08:00:00Z or a duration such as PT5M");
        }
    }
}
