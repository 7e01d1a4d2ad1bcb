package org.cranberrybend.entry.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cranberrybend.core.quarantine.CrashRecord;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.quarantine.PromptQuarantine;
import org.cranberrybend.core.quarantine.Standing;
import org.cranberrybend.core.quarantine.UpstreamIncarnation;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.json.JsonObject;

/** JSON format of the crash records that instances exchange. Times are sent as ages, since the clocks differ. */
final class CrashFormat {
    /** Largest number of prompt parts in one message, which bounds its size to about 50 KB. */
    private static final int MAX_PARTS = 2_000;

    private CrashFormat() {}

    static byte[] encode(List<CrashRecord> latestFirst, long nowMs) {
        List<Object> rows = new ArrayList<>();
        int parts = 0;
        for (CrashRecord each : latestFirst) {
            parts += each.standings().size();
            if (parts > MAX_PARTS) {
                break;
            }
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("upstream", each.upstream().upstreamId());
            row.put("started_at_ms", each.upstream().startedAtMs());
            row.put("age_ms", nowMs - each.crashedAtMs());
            for (Standing standing : Standing.values()) {
                row.put(fieldName(standing), partsOf(each, standing));
            }
            rows.add(row);
        }
        return Json.write(Map.of("crashes", rows));
    }

    private static String fieldName(Standing standing) {
        return standing.name().toLowerCase(Locale.ROOT);
    }

    private static List<PartFingerprint> partsOf(CrashRecord crash, Standing standing) {
        List<PartFingerprint> parts = new ArrayList<>();
        crash.standings().forEach((part, partStanding) -> {
            if (partStanding == standing) {
                parts.add(part);
            }
        });
        return parts;
    }

    static Collection<CrashRecord> decode(byte[] text, long nowMs) throws JsonFormatException {
        List<CrashRecord> crashes = new ArrayList<>();
        for (JsonObject row : Json.readObject(text).objects("crashes")) {
            if (crashes.size() < PromptQuarantine.MAX_RECORDS) {
                crashes.add(decode(row, nowMs));
            }
        }
        return crashes;
    }

    private static CrashRecord decode(JsonObject row, long nowMs) throws JsonFormatException {
        Map<PartFingerprint, Standing> standings = new HashMap<>();
        for (Standing standing : Standing.values()) {
            for (String part : row.strings(fieldName(standing))) {
                try {
                    standings.merge(PartFingerprint.parse(part), standing, Standing::merge);
                } catch (NumberFormatException e) {
                    throw new JsonFormatException("a prompt part must be a hexadecimal number", e);
                }
            }
        }
        return new CrashRecord(
                new UpstreamIncarnation(row.string("upstream"), row.integer("started_at_ms")),
                nowMs - Math.max(0, row.integer("age_ms")),
                standings);
    }
}
