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

/** Formats the start line and the header section of requests and responses. */
final class HeadFormatter {
    private static final int TYPICAL_HEAD_BYTES = 512;

    private HeadFormatter() {}

    static ByteBuf request(String method, String target, List<Header> headers) {
        CharArrayBuffer text = new CharArrayBuffer(TYPICAL_HEAD_BYTES);
        BasicLineFormatter.INSTANCE.formatRequestLine(text, new RequestLine(method, target, HttpVersion.HTTP_1_1));
        return withHeaders(text, headers);
    }

    static ByteBuf response(int status, String reason, List<Header> headers) {
        CharArrayBuffer text = new CharArrayBuffer(TYPICAL_HEAD_BYTES);
        BasicLineFormatter.INSTANCE.formatStatusLine(text, new StatusLine(HttpVersion.HTTP_1_1, status, reason));
        return withHeaders(text, headers);
    }

    private static ByteBuf withHeaders(CharArrayBuffer text, List<Header> headers) {
        text.append("\r\n");
        for (Header header : headers) {
            BasicLineFormatter.INSTANCE.formatHeader(text, header);
            text.append("\r\n");
        }
        text.append("\r\n");
        byte[] bytes = new String(text.array(), 0, text.length()).getBytes(StandardCharsets.ISO_8859_1);
        return Unpooled.wrappedBuffer(bytes);
    }
}
