package org.cranberrybend.core.event;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * One entry of the time line.
 *
 * @param code entry of the catalogue
 * @param process process that wrote the event
 * @param sequence position among the events of that process, from 1
 * @param timestamp hybrid logical time
 * @param subject identifier of the request, order, lease, member or upstream concerned; may be empty
 * @param fields typed details by name; never a key and never a caller's text
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

    /** Returns the form in which events are logged and served, with its fields in a stable order. */
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
