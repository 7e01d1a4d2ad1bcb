package org.cranberrybend.router.accept;

import java.util.Locale;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;

/**
 * Validates the headers that determine where a request ends. If two hops interpret them differently, they see different
 * requests on the same connection (request smuggling), so ambiguous framing is refused.
 */
final class RequestFraming {
    private RequestFraming() {}

    static void check(ClassicHttpRequest http, int maxHeaderBytes) throws RequestFailedException {
        if (http.getPath() == null || !http.getPath().startsWith("/")) {
            throw RequestFailedException.notRun(ErrorCode.INVALID_FIELD, "path", "must start with '/'");
        }
        long headerBytes = http.getMethod().length() + http.getPath().length();
        for (Header header : http.getHeaders()) {
            headerBytes += header.getName().length()
                    + (header.getValue() == null ? 0 : header.getValue().length());
        }
        if (headerBytes > maxHeaderBytes) {
            throw RequestFailedException.notRun(ErrorCode.HEADERS_TOO_LARGE);
        }
        Header[] lengths = http.getHeaders(HttpHeaders.CONTENT_LENGTH);
        Header[] codings = http.getHeaders(HttpHeaders.TRANSFER_ENCODING);
        if (lengths.length > 1) {
            throw invalid(HttpHeaders.CONTENT_LENGTH, "must be sent once");
        }
        if (lengths.length == 1 && codings.length > 0) {
            throw invalid(HttpHeaders.CONTENT_LENGTH, "must not be sent together with Transfer-Encoding");
        }
        if (lengths.length == 1 && !String.valueOf(lengths[0].getValue()).matches("[0-9]{1,18}")) {
            throw invalid(HttpHeaders.CONTENT_LENGTH, "must be a whole number");
        }
        if (codings.length > 1 || (codings.length == 1 && !"chunked".equalsIgnoreCase(codings[0].getValue()))) {
            throw invalid(HttpHeaders.TRANSFER_ENCODING, "must be \"chunked\"");
        }
        Header expect = http.getFirstHeader(HttpHeaders.EXPECT);
        if (expect != null
                && !"100-continue".equals(String.valueOf(expect.getValue()).toLowerCase(Locale.ROOT))) {
            throw invalid(HttpHeaders.EXPECT, "must be \"100-continue\"");
        }
    }

    private static RequestFailedException invalid(String header, String reason) {
        return RequestFailedException.notRun(ErrorCode.INVALID_HEADER, header, reason);
    }
}
