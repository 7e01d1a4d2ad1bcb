package org.cranberrybend.ctl.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.event.HybridTimestamp;
import org.cranberrybend.core.event.TimelineEntry;
import org.cranberrybend.ctl.client.CommandException;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/**
 * Events parsed from the logs of processes. A log line contains one event as a JSON object, possibly after a prefix
 * added by a log collector.
 *
 * <p>Entry instances log the wall-clock time instead of a hybrid timestamp. Their clock may be set back, so each event
 * gets a time that is not earlier than that of the preceding event of the same incarnation.
 */
final class LogEvents {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String STANDARD_INPUT = "-";

    private final List<JsonNode> lines = new ArrayList<>();
    private int skippedLines;

    private LogEvents() {}

    /** Reads the events of log files; {@code -} stands for the given input. */
    static LogEvents read(String[] files, InputStream input) throws CommandException {
        LogEvents events = new LogEvents();
        for (String file : files) {
            try (InputStream opened = file.equals(STANDARD_INPUT) ? input : Files.newInputStream(Path.of(file))) {
                events.add(opened);
            } catch (IOException e) {
                throw new CommandException(ExitCode.UNREACHABLE, "log " + file + " cannot be read: " + e.getMessage());
            }
        }
        return events;
    }

    private void add(InputStream input) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            int begin = line.indexOf('{');
            try {
                JsonNode json = begin < 0 ? MAPPER.nullNode() : MAPPER.readTree(line.substring(begin));
                if (json.has("event") && json.has("sequence")) {
                    lines.add(json);
                } else {
                    skippedLines++;
                }
            } catch (JsonProcessingException e) {
                skippedLines++;
            }
        }
    }

    /** Returns the number of lines that contain no event. */
    int skippedLines() {
        return skippedLines;
    }

    /** Returns the events, with timestamps that do not decrease within an incarnation. */
    List<TimelineEntry> entries() {
        List<JsonNode> ordered = new ArrayList<>(lines);
        ordered.sort(Comparator.comparing(LogEvents::incarnationKey)
                .thenComparingLong(line -> line.path("sequence").asLong()));
        Map<String, Long> lastMs = new HashMap<>();
        List<TimelineEntry> entries = new ArrayList<>();
        for (JsonNode line : ordered) {
            if (line.has("stamp")) {
                entries.add(TimelineEntry.fromJson(line));
                continue;
            }
            long wallMs =
                    lastMs.merge(incarnationKey(line), line.path("wall_ms").asLong(), Math::max);
            ObjectNode stamped = line.deepCopy();
            stamped.put("stamp", new HybridTimestamp(wallMs, 0).toString());
            entries.add(TimelineEntry.fromJson(stamped));
        }
        return entries;
    }

    private static String incarnationKey(JsonNode line) {
        return line.path("instance").asText() + "/" + line.path("role").asText() + "/"
                + line.path("incarnation").asText();
    }
}
