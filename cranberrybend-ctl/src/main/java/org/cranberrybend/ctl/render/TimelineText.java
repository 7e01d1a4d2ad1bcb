package org.cranberrybend.ctl.render;

import java.time.Instant;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cranberrybend.core.event.TimelineEntry;

/** Writes a timeline as text with one line for each event. */
public final class TimelineText {
    private TimelineText() {}

    /** Returns the lines. */
    public static String write(List<TimelineEntry> entries) {
        StringBuilder text = new StringBuilder();
        for (TimelineEntry entry : entries) {
            text.append(Instant.ofEpochMilli(entry.timestamp().wallMs()))
                    .append(String.format(".%04d ", entry.timestamp().counter()))
                    .append(entry.zone())
                    .append(' ')
                    .append(entry.memberId())
                    .append(' ')
                    .append(entry.number())
                    .append(' ')
                    .append(entry.name())
                    .append(' ')
                    .append(entry.subject().isEmpty() ? "-" : entry.subject())
                    .append(' ')
                    .append(fields(entry));
            int end = text.length();
            while (text.charAt(end - 1) == ' ') {
                end--;
            }
            text.setLength(end);
            text.append('\n');
        }
        return text.toString();
    }

    /** Returns the fields of an entry as {@code name=value}, sorted by name. */
    static String fields(TimelineEntry entry) {
        return new TreeMap<>(entry.fields())
                .entrySet().stream()
                        .map(field -> field.getKey() + "=" + field.getValue())
                        .collect(Collectors.joining(" "));
    }
}
