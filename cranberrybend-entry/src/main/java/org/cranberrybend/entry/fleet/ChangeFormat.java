package org.cranberrybend.entry.fleet;

import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.json.JsonObject;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.upstream.LoadReport;

/** JSON format of the store changes and load reports that instances exchange. */
final class ChangeFormat {
    private ChangeFormat() {}

    /** Response of a leader to its follower. */
    record Response(StoreChanges changes, List<LoadReport> loads) {
        Response {
            loads = List.copyOf(loads);
        }
    }

    /** Encodes each report as the text "requests,age" to keep it short: reports are sent several times a second. */
    static Map<String, Object> loads(List<LoadReport> reports) {
        Map<String, Object> rows = new LinkedHashMap<>();
        for (LoadReport report : reports) {
            rows.put(report.upstreamId(), report.requests() + "," + report.ageMs());
        }
        return rows;
    }

    static List<LoadReport> readLoads(JsonObject rows) throws JsonFormatException {
        List<LoadReport> reports = new ArrayList<>();
        for (String id : rows.names()) {
            String[] row = rows.string(id).split(",");
            try {
                reports.add(new LoadReport(id, Integer.parseInt(row[0]), Long.parseLong(row[1])));
            } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
                throw new JsonFormatException("the load of " + id + " must be two numbers", e);
            }
        }
        return reports;
    }

    static byte[] encode(StoreChanges changes, List<LoadReport> reports) {
        List<Object> rows = new ArrayList<>();
        for (StoreChange change : changes.changes()) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("key", change.key());
            row.put("revision", change.revision());
            change.item().ifPresent(item -> {
                row.put("value", Base64.getEncoder().encodeToString(item.value()));
                row.put("created_revision", item.createdRevision());
                row.put("lease", item.leaseId());
            });
            rows.add(row);
        }
        return Json.write(Map.of("revision", changes.revision(), "changes", rows, "loads", loads(reports)));
    }

    /** Encodes a snapshot as the changes that lead to it from nothing. */
    static byte[] encode(StoreSnapshot snapshot) {
        List<StoreChange> changes = snapshot.items().stream()
                .map(item -> new StoreChange(item.key(), item.revision(), Optional.of(item)))
                .toList();
        return encode(new StoreChanges(changes, snapshot.revision()), List.of());
    }

    static StoreSnapshot decodeSnapshot(byte[] text) throws JsonFormatException {
        StoreChanges changes = decode(text).changes();
        List<StoreItem> items = changes.changes().stream()
                .flatMap(change -> change.item().stream())
                .toList();
        return new StoreSnapshot(items, changes.revision());
    }

    static Response decode(byte[] text) throws JsonFormatException {
        JsonObject json = Json.readObject(text);
        List<StoreChange> changes = new ArrayList<>();
        for (JsonObject row : json.objects("changes")) {
            String key = row.string("key");
            long revision = row.integer("revision");
            Optional<StoreItem> item = Optional.empty();
            if (row.has("created_revision")) {
                String value = row.text("value");
                try {
                    item = Optional.of(new StoreItem(
                            key,
                            Base64.getDecoder().decode(value),
                            revision,
                            row.integer("created_revision"),
                            row.integer("lease")));
                } catch (IllegalArgumentException e) {
                    throw new JsonFormatException("the value of " + key + " is not base64 text", e);
                }
            }
            changes.add(new StoreChange(key, revision, item));
        }
        return new Response(new StoreChanges(changes, json.integer("revision")), readLoads(json.object("loads")));
    }
}
