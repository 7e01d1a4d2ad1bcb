package org.cranberrybend.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.List;

/** Usage reports in order of arrival, repeated ones included. */
final class UsageReportLog {
    private final List<Report> reports = new ArrayList<>();

    /**
     * A report as received.
     *
     * @param window window of the report
     * @param body body as JSON
     * @param bodySha256 digest of the body bytes; a repeated report must have the same
     */
    record Report(String window, JsonNode body, String bodySha256) {}

    synchronized void add(String window, JsonNode body, byte[] bytes) {
        reports.add(new Report(window, body, Hashing.sha256().hashBytes(bytes).toString()));
    }

    synchronized List<Report> received() {
        return List.copyOf(reports);
    }
}
