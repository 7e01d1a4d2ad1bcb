package org.cranberrybend.core.event;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * An event of any process as read back from its JSON form, see {@link Event#toJsonFields()}.
 *
 * @param number number in the catalogue
 * @param name name in the catalogue
 * @param severity severity name
 * @param timestamp hybrid logical time
 * @param memberId process, {@code instance/role}; the instance alone if it has one process
 * @param incarnation run of the process
 * @param zone availability zone of the process
 * @param sequence position among the events of that run
 * @param subject identifier of what the event is about; may be empty
 * @param fields details as text
 */
public record TimelineEntry(
        int number,
        String name,
        String severity,
        HybridTimestamp timestamp,
        String memberId,
        long incarnation,
        String zone,
        long sequence,
        String subject,
        Map<String, String> fields) {
    /** Causal order: the stamp, then the process, then the position in it. */
    public static final Comparator<TimelineEntry> CAUSAL_ORDER = Comparator.comparing(TimelineEntry::timestamp)
            .thenComparing(TimelineEntry::memberId)
            .thenComparingLong(TimelineEntry::incarnation)
            .thenComparingLong(TimelineEntry::sequence);

    public TimelineEntry {
        fields = Map.copyOf(fields);
    }

    /**
     * Reads an entry from its JSON form.
     *
     * @throws IllegalArgumentException if the stamp cannot be read
     */
    public static TimelineEntry fromJson(JsonNode json) {
        Map<String, String> fields = new TreeMap<>();
        json.path("fields")
                .properties()
                .forEach(field -> fields.put(field.getKey(), field.getValue().asText()));
        return new TimelineEntry(
                json.path("event").asInt(),
                json.path("name").asText(),
                json.path("severity").asText(),
                HybridTimestamp.parse(json.path("stamp").asText()),
                json.path("instance").asText()
                        + (json.has("role") ? "/" + json.path("role").asText() : ""),
                json.path("incarnation").asLong(),
                json.path("zone").asText(),
                json.path("sequence").asLong(),
                json.path("subject").asText(),
                fields);
    }
}
