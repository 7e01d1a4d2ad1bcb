package org.cranberrybend.entry.fleet;

import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.json.JsonObject;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.upstream.ZoneEvacuations;

/**
 * State that one instance has read from the store, sent to another instance.
 *
 * @param configuration configuration in force, as stored; empty if the other instance has this version
 * @param upstreams entries of the upstreams, as stored; usage counts in a request to write them
 * @param revision revision of the store up to which the entries are complete
 * @param ageMs time since the last response of the store, in milliseconds
 * @param evacuations evacuated zones
 */
@SuppressWarnings("ArrayRecordComponent")
public record FleetState(
        byte[] configuration, List<StoreItem> upstreams, long revision, long ageMs, ZoneEvacuations.State evacuations) {
    public FleetState {
        upstreams = List.copyOf(upstreams);
    }

    /** Creates a state without knowledge of evacuations. */
    public FleetState(byte[] configuration, List<StoreItem> upstreams, long revision, long ageMs) {
        this(configuration, upstreams, revision, ageMs, ZoneEvacuations.State.UNKNOWN);
    }

    byte[] encode() {
        List<Object> rows = new ArrayList<>();
        for (StoreItem item : upstreams) {
            rows.add(Map.of(
                    "key",
                    item.key(),
                    "value",
                    Base64.getEncoder().encodeToString(item.value()),
                    "revision",
                    item.revision()));
        }
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("configuration", Base64.getEncoder().encodeToString(configuration));
        state.put("upstreams", rows);
        state.put("revision", revision);
        state.put("age_ms", ageMs);
        state.put("evacuated_zones", List.copyOf(evacuations.zones()));
        state.put("evacuations_revision", evacuations.revision());
        return Json.write(state);
    }

    static FleetState decode(byte[] text) throws JsonFormatException {
        JsonObject state = Json.readObject(text);
        List<StoreItem> items = new ArrayList<>();
        try {
            for (JsonObject row : state.objects("upstreams")) {
                long revision = row.integer("revision");
                byte[] value = Base64.getDecoder().decode(row.text("value"));
                items.add(new StoreItem(row.string("key"), value, revision, StoreItem.UNKNOWN_REVISION, 0));
            }
            return new FleetState(
                    Base64.getDecoder().decode(state.text("configuration")),
                    items,
                    state.integer("revision"),
                    state.integer("age_ms"),
                    // Instances of earlier versions do not know evacuations.
                    new ZoneEvacuations.State(
                            Set.copyOf(state.strings("evacuated_zones")),
                            state.integer("evacuations_revision", ZoneEvacuations.State.UNKNOWN.revision())));
        } catch (IllegalArgumentException e) {
            throw new JsonFormatException("a value is not base64 text", e);
        }
    }
}
