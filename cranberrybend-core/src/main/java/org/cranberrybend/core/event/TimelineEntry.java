package org.cranberrybend.core.event;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * An event of any process, parsed from its JSON form, see {@link Event#toJsonFields()}.
 *
 * @param number number of the event code
 * @param name name of the event code
 * @param severity name of the severity
 * @param timestamp hybrid logical timestamp
 * @param memberId process, {@code instance/role}; only the instance if it has a single process
 * @param incarnation incarnation of the process
 * @param zone availability zone of the process
 * @param sequence sequence number among the events of that incarnation
 * @param subject identifier of what the event is about; may be empty
 * @param fields details as text
 */
public record TimelineEntry(
        int number,
        String name,
        String severity,
        @JsonProperty("stamp") HybridTimestamp timestamp,
        String memberId,
        long incarnation,
        String zone,
        long sequence,
        String subject,
        Map<String, String> fields) {
    /** Causal order: by timestamp, then by process, incarnation and sequence number. */
    public static final Comparator<TimelineEntry> CAUSAL_ORDER = Comparator.comparing(TimelineEntry::timestamp)
            .thenComparing(TimelineEntry::memberId)
            .thenComparingLong(TimelineEntry::incarnation)
            .thenComparingLong(TimelineEntry::sequence);

    public TimelineEntry {
        fields = Map.copyOf(fields);
    }

    /**
     * Parses an entry from its JSON form.
     *
     * @throws IllegalArgumentException if the timestamp cannot be parsed
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
