package org.cranberrybend.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.List;

/** Usage reports in order of arrival, including repeated ones. */
final class UsageReportLog {
    private final List<Report> reports = new ArrayList<>();

    /**
     * A report as received.
     *
     * @param window usage window of the report
     * @param body body as JSON
     * @param bodySha256 SHA-256 digest of the body bytes; repeated reports of a window must have equal digests
     */
    record Report(String window, JsonNode body, String bodySha256) {}

    synchronized void add(String window, JsonNode body, byte[] bytes) {
        reports.add(new Report(window, body, Hashing.sha256().hashBytes(bytes).toString()));
    }

    synchronized List<Report> received() {
        return List.copyOf(reports);
    }
}
