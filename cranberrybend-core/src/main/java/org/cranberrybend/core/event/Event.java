package org.cranberrybend.core.event;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * An event of a process.
 *
 * @param code code of the event
 * @param process process that recorded the event
 * @param sequence sequence number among the events of that process, starting at 1
 * @param timestamp hybrid logical timestamp
 * @param subject identifier of the request, order, lease, member or upstream that the event is about; may be empty
 * @param fields typed details by name; must not contain API keys or text sent by callers
 */
public record Event(
        EventCode code,
        ProcessIdentity process,
        long sequence,
        HybridTimestamp timestamp,
        String subject,
        Map<String, Object> fields) {
    public Event {
        fields = Map.copyOf(fields);
    }

    /** Returns the JSON fields in which events are logged and served, in a stable order. */
    public Map<String, Object> toJsonFields() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("event", code.number());
        json.put("name", code.name());
        json.put("severity", code.severity().name());
        json.put("stamp", timestamp.toString());
        json.put("instance", process.instance());
        json.put("role", process.role());
        json.put("incarnation", process.incarnation());
        json.put("zone", process.zone());
        json.put("sequence", sequence);
        json.put("subject", subject);
        json.put("description", code.description());
        json.put("fields", new TreeMap<>(fields));
        return json;
    }
}
