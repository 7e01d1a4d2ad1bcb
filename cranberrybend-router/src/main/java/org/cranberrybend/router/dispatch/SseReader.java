package org.cranberrybend.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Splits a response body into server-sent events. A last event without a terminating empty line is discarded. */
final class SseReader {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String DATA = "data:";

    private final UpstreamResponse response;
    private byte[] chunk = new byte[0];
    private int next;

    SseReader(UpstreamResponse response) {
        this.response = response;
    }

    /** Returns the next event, or null at the end of the body. */
    SseEvent next() throws UpstreamFailure, CallAbortedException {
        ByteArrayOutputStream raw = new ByteArrayOutputStream();
        StringBuilder data = new StringBuilder();
        int lineStart = 0;
        while (true) {
            int value = readByte();
            if (value < 0) {
                return null;
            }
            raw.write(value);
            if (raw.size() > MAX_EVENT_BYTES) {
                throw UpstreamFailure.outcomeUnknown("an event exceeds " + MAX_EVENT_BYTES + " bytes");
            }
            if (value == '\n') {
                String line = line(raw.toByteArray(), lineStart);
                lineStart = raw.size();
                if (line.isEmpty()) {
                    return new SseEvent(raw.toByteArray(), data.toString());
                }
                if (line.startsWith(DATA)) {
                    data.append(data.length() == 0 ? "" : "\n")
                            .append(line.substring(DATA.length()).strip());
                }
            }
        }
    }

    private static String line(byte[] bytes, int start) {
        int end = bytes.length - 1;
        if (end > start && bytes[end - 1] == '\r') {
            end--;
        }
        return new String(bytes, start, end - start, StandardCharsets.UTF_8);
    }

    private int readByte() throws UpstreamFailure, CallAbortedException {
        if (next == chunk.length) {
            chunk = response.read();
            next = 0;
            if (chunk.length == 0) {
                return -1;
            }
        }
        return chunk[next++] & 0xff;
    }
}
