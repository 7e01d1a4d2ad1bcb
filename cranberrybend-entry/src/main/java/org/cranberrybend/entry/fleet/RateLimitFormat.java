package org.cranberrybend.entry.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.json.JsonObject;
import org.cranberrybend.entry.upstream.RateLimitReport;

/**
 * JSON format of the rate limits that instances exchange: for each upstream the text "start,rate,age", which keeps the
 * messages short. A rate of "none" means that a limit has ended.
 */
final class RateLimitFormat {
    private static final String NONE = "none";
    private static final int FIELDS = 3;

    private RateLimitFormat() {}

    static byte[] encode(List<RateLimitReport> reports) {
        Map<String, Object> rows = new LinkedHashMap<>();
        for (RateLimitReport report : reports) {
            String rate = report.isLimited() ? Double.toString(report.requestsPerS()) : NONE;
            rows.put(report.upstreamId(), report.startedAtMs() + "," + rate + "," + report.ageMs());
        }
        return Json.write(rows);
    }

    static List<RateLimitReport> decode(byte[] text) throws JsonFormatException {
        JsonObject rows = Json.readObject(text);
        List<RateLimitReport> reports = new ArrayList<>();
        for (String id : rows.names()) {
            String[] fields = rows.string(id).split(",");
            if (fields.length != FIELDS) {
                throw new JsonFormatException("the rate limit of " + id + " must have " + FIELDS + " fields");
            }
            try {
                double rate = fields[1].equals(NONE) ? Double.POSITIVE_INFINITY : Double.parseDouble(fields[1]);
                reports.add(new RateLimitReport(id, Long.parseLong(fields[0]), rate, Long.parseLong(fields[2])));
            } catch (IllegalArgumentException e) {
                throw new JsonFormatException("the rate limit of " + id + " must be start, rate and age", e);
            }
        }
        return reports;
    }
}
