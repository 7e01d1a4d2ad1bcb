package org.cranberrybend.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.message.BasicLineFormatter;
import org.apache.hc.core5.http.message.RequestLine;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Formats the start line and the header section of requests and responses. Text that a head cannot hold is refused:
 * HttpCore's formatter and the charset would replace its characters without an error, see {@link HeaderText}.
 */
final class HeadFormatter {
    private static final int TYPICAL_HEAD_BYTES = 512;

    private HeadFormatter() {}

    static ByteBuf request(String method, String target, List<Header> headers) {
        checkStartLine(target);
        CharArrayBuffer text = new CharArrayBuffer(TYPICAL_HEAD_BYTES);
        BasicLineFormatter.INSTANCE.formatRequestLine(text, new RequestLine(method, target, HttpVersion.HTTP_1_1));
        return withHeaders(text, headers);
    }

    static ByteBuf response(int status, String reason, List<Header> headers) {
        checkStartLine(reason == null ? "" : reason);
        CharArrayBuffer text = new CharArrayBuffer(TYPICAL_HEAD_BYTES);
        BasicLineFormatter.INSTANCE.formatStatusLine(text, new StatusLine(HttpVersion.HTTP_1_1, status, reason));
        return withHeaders(text, headers);
    }

    private static void checkStartLine(String text) {
        if (!HeaderRules.isFieldText(text)) {
            throw new IllegalArgumentException("the start line has characters that no head can hold");
        }
    }

    private static ByteBuf withHeaders(CharArrayBuffer text, List<Header> headers) {
        text.append("\r\n");
        for (Header header : headers) {
            if (!HeaderRules.isWellFormed(header)) {
                throw new IllegalArgumentException(
                        "field " + header.getName() + " has characters that no head can hold");
            }
            BasicLineFormatter.INSTANCE.formatHeader(text, header);
            text.append("\r\n");
        }
        text.append("\r\n");
        byte[] bytes = new String(text.array(), 0, text.length()).getBytes(StandardCharsets.ISO_8859_1);
        return Unpooled.wrappedBuffer(bytes);
    }
}
