package org.cranberrybend.entry.http;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;

/**
 * A complete response to an API call.
 *
 * @param head status and headers
 * @param body body
 */
@SuppressWarnings("ArrayRecordComponent")
public record ApiResponse(HttpResponse head, byte[] body) {
    /** Returns the HTTP status. */
    public int status() {
        return head.getCode();
    }

    /** Returns the text of a header; empty if it is absent. */
    public String header(String name) {
        Header header = head.getFirstHeader(name);
        return header == null || header.getValue() == null
                ? ""
                : header.getValue().trim();
    }
}
