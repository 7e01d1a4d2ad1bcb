package org.cranberrybend.ctl.render;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.cranberrybend.core.event.TimelineEntry;

/** Writes a timeline as an HTML page without external resources, with one column for each process. */
public final class TimelineHtml {
    private static final Map<String, String> ESCAPES = Map.of("&", "&amp;", "<", "&lt;", ">", "&gt;", "\"", "&quot;");

    private TimelineHtml() {}

    /** Returns the page. */
    public static String write(List<TimelineEntry> entries) {
        TreeSet<String> members = new TreeSet<>();
        entries.forEach(entry -> members.add(entry.memberId()));
        List<String> columns = new ArrayList<>(members);
        StringBuilder page = new StringBuilder();
        page.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Time line</title>\n");
        page.append("<style>body{font:13px sans-serif}table{border-collapse:collapse}")
                .append("td,th{border:1px solid #ddd;padding:2px 6px;vertical-align:top;text-align:left}")
                .append("th{position:sticky;top:0;background:#fff}.WARNING{background:#fff3cd}")
                .append(".ERROR{background:#f8d7da}</style></head><body><table>\n<tr><th>Time</th><th>Subject</th>");
        columns.forEach(column -> page.append("<th>").append(escape(column)).append("</th>"));
        page.append("</tr>\n");
        entries.forEach(entry -> appendRow(page, columns, entry));
        return page.append("</table></body></html>\n").toString();
    }

    private static void appendRow(StringBuilder page, List<String> columns, TimelineEntry entry) {
        page.append("<tr><td>").append(Instant.ofEpochMilli(entry.timestamp().wallMs()));
        page.append("</td><td>").append(escape(entry.subject())).append("</td>");
        for (String column : columns) {
            if (column.equals(entry.memberId())) {
                page.append("<td class=\"").append(escape(entry.severity())).append("\">");
                page.append(entry.number()).append(' ').append(escape(entry.name()));
                page.append("<br>").append(escape(TimelineText.fields(entry))).append("</td>");
            } else {
                page.append("<td></td>");
            }
        }
        page.append("</tr>\n");
    }

    private static String escape(String text) {
        StringBuilder escaped = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            String character = text.substring(i, i + 1);
            escaped.append(ESCAPES.getOrDefault(character, character));
        }
        return escaped.toString();
    }
}
