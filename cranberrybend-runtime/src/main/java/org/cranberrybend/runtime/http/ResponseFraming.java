package org.cranberrybend.runtime.http;

import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.HttpVersion;

/**
 * The framing of responses: where their bodies end. A head that states it in more than one way, or in a way that does not
 * go with its status, was corrupted, and none of its statements can be trusted.
 */
public final class ResponseFraming {
    private static final String CHUNKED = "chunked";

    private ResponseFraming() {}

    /** Returns whether a response is an interim one, which the final one follows; fails if it frames a body. */
    public static boolean isInterim(HttpResponse head) throws HttpException {
        if (head.getCode() >= HttpStatus.SC_SUCCESS) {
            return false;
        }
        if (head.getCode() == HttpStatus.SC_SWITCHING_PROTOCOLS || statements(head) > 0) {
            throw new HttpException("interim response with another protocol or a body");
        }
        return true;
    }

    /**
     * Returns the length of the body of a final response, or a constant of {@link ContentLengthStrategy}.
     *
     * @param headRequest whether the response is to a HEAD request, so that it has no body whatever its head states
     */
    public static long bodyLength(HttpResponse head, boolean headRequest) throws HttpException {
        if (statements(head) > 1) {
            throw new HttpException("ambiguous length of the body");
        }
        long stated = statedLength(head);
        if (head.getCode() == HttpStatus.SC_NO_CONTENT && stated != 0 && stated != ContentLengthStrategy.UNDEFINED) {
            throw new HttpException("body of a response without content");
        }
        boolean withoutBody = headRequest
                || head.getCode() == HttpStatus.SC_NO_CONTENT
                || head.getCode() == HttpStatus.SC_NOT_MODIFIED;
        return withoutBody ? 0 : stated;
    }

    private static int statements(HttpResponse head) {
        return head.countHeaders(HttpHeaders.CONTENT_LENGTH) + head.countHeaders(HttpHeaders.TRANSFER_ENCODING);
    }

    private static long statedLength(HttpResponse head) throws HttpException {
        if (head.containsHeader(HttpHeaders.TRANSFER_ENCODING)) {
            String coding = head.getFirstHeader(HttpHeaders.TRANSFER_ENCODING).getValue();
            boolean chunked = coding != null && coding.trim().equalsIgnoreCase(CHUNKED);
            if (!chunked || head.getVersion() != null && head.getVersion().lessEquals(HttpVersion.HTTP_1_0)) {
                throw new HttpException("unknown transfer coding");
            }
            return ContentLengthStrategy.CHUNKED;
        }
        if (!head.containsHeader(HttpHeaders.CONTENT_LENGTH)) {
            return ContentLengthStrategy.UNDEFINED;
        }
        String length = head.getFirstHeader(HttpHeaders.CONTENT_LENGTH).getValue();
        if (length == null || length.isEmpty() || !length.chars().allMatch(each -> each >= '0' && each <= '9')) {
            throw new HttpException("length of the body is not a number");
        }
        try {
            return Long.parseLong(length);
        } catch (NumberFormatException e) {
            throw new HttpException("length of the body is out of range", e);
        }
    }
}
