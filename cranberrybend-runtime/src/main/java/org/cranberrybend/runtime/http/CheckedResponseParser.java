package org.cranberrybend.runtime.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.cranberrybend.core.http.ResponseLine;

/** Parser of response heads that compares each line with its syntax before the library's parser sees it. */
final class CheckedResponseParser extends DefaultHttpResponseParser {
    CheckedResponseParser(Http1Config config) {
        super(config);
    }

    @Override
    public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream input) throws IOException, HttpException {
        return super.parse(new CheckedLines(buffer), input);
    }

    /** The input buffer of a connection, while one head is read from it. */
    private static final class CheckedLines implements SessionInputBuffer {
        private final SessionInputBuffer buffer;
        private boolean statusRead;

        CheckedLines(SessionInputBuffer buffer) {
            this.buffer = buffer;
        }

        @Override
        public int readLine(CharArrayBuffer target, InputStream input) throws IOException {
            int start = target.length();
            int count = buffer.readLine(target, input);
            if (count >= 0) {
                check(target.substring(start, target.length()));
            }
            return count;
        }

        private void check(String line) throws ProtocolException {
            byte[] bytes = line.getBytes(StandardCharsets.ISO_8859_1);
            ResponseLine kind = statusRead ? ResponseLine.FIELD : ResponseLine.STATUS;
            boolean endOfHead = statusRead && bytes.length == 0;
            if (!endOfHead && !kind.matches(bytes, 0, bytes.length)) {
                throw new ProtocolException("line that has no place in a response");
            }
            statusRead = true;
        }

        @Override
        public int length() {
            return buffer.length();
        }

        @Override
        public int capacity() {
            return buffer.capacity();
        }

        @Override
        public int available() {
            return buffer.available();
        }

        @Override
        public int read(byte[] target, int offset, int length, InputStream input) throws IOException {
            return buffer.read(target, offset, length, input);
        }

        @Override
        public int read(byte[] target, InputStream input) throws IOException {
            return buffer.read(target, input);
        }

        @Override
        public int read(InputStream input) throws IOException {
            return buffer.read(input);
        }

        @Override
        public HttpTransportMetrics getMetrics() {
            return buffer.getMetrics();
        }
    }
}
