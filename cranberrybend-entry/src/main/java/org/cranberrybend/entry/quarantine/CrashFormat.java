package org.cranberrybend.entry.quarantine;

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

/**
 * JSON format of the crash records that instances exchange and keep in the store. Times are written as ages, since the
 * clocks differ; a stored document also states when it was written.
 */
public final class CrashFormat {
    /** Largest number of prompt parts in one message, which bounds its size to about 50 KB. */
    private static final int MAX_PARTS = 2_000;

    private static final String CRASHES = "crashes";
    private static final String WRITTEN = "written_wall_ms";

    private CrashFormat() {}

    /** Encodes records for another instance. */
    public static byte[] encode(List<CrashRecord> latestFirst, long nowMs) {
        return Json.write(Map.of(CRASHES, rows(latestFirst, nowMs)));
    }

    /** Encodes records for the store. */
    static byte[] encodeStored(List<CrashRecord> latestFirst, long nowMs, long wallMs) {
        return Json.write(Map.of(WRITTEN, wallMs, CRASHES, rows(latestFirst, nowMs)));
    }

    private static List<Object> rows(List<CrashRecord> latestFirst, long nowMs) {
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
        return rows;
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

    /** Decodes records of another instance. */
    public static Collection<CrashRecord> decode(byte[] text, long nowMs) throws JsonFormatException {
        return records(Json.readObject(text), nowMs);
    }

    /** Decodes records from the store. */
    static Collection<CrashRecord> decodeStored(byte[] text, long nowMs, long wallMs) throws JsonFormatException {
        JsonObject document = Json.readObject(text);
        // A clock that was stepped back must not move crashes into the future.
        long documentAgeMs = Math.max(0, wallMs - document.integer(WRITTEN));
        return records(document, nowMs - documentAgeMs);
    }

    private static Collection<CrashRecord> records(JsonObject document, long nowMs) throws JsonFormatException {
        List<CrashRecord> crashes = new ArrayList<>();
        for (JsonObject row : document.objects(CRASHES)) {
            if (crashes.size() < PromptQuarantine.MAX_RECORDS) {
                crashes.add(record(row, nowMs));
            }
        }
        return crashes;
    }

    private static CrashRecord record(JsonObject row, long nowMs) throws JsonFormatException {
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
