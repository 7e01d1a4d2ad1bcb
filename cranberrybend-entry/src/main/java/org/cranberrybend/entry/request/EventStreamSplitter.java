package org.cranberrybend.entry.request;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events into complete events, so that an event is never forwarded in part.
 *
 * <p>An event ends with an empty line. Lines end with LF or CRLF; a CR alone does not end a line.
 */
final class EventStreamSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private String pendingId = "";
    private String lastEventId = "";

    /** Appends received bytes; returns all pending bytes up to the end of the last complete event. */
    byte[] append(ByteBuffer received) {
        ByteArrayOutputStream complete = new ByteArrayOutputStream();
        while (received.hasRemaining()) {
            byte next = received.get();
            pending.write(next);
            if (next == '\n') {
                endLine(complete);
            } else if (next != '\r') {
                line.write(next);
            }
        }
        return complete.toByteArray();
    }

    private void endLine(ByteArrayOutputStream complete) {
        if (line.size() == 0) {
            complete.write(pending.toByteArray(), 0, pending.size());
            pending.reset();
            if (!pendingId.isEmpty()) {
                lastEventId = pendingId;
                pendingId = "";
            }
            return;
        }
        // The identifier is sent in the head of a request, byte by byte.
        String field = line.toString(StandardCharsets.ISO_8859_1);
        if (field.startsWith(ID_FIELD)) {
            pendingId = field.substring(ID_FIELD.length()).trim();
        }
        line.reset();
    }

    /** Returns the last identifier that a complete event stated; empty if none did. */
    String lastEventId() {
        return lastEventId;
    }

    /** Returns the number of bytes that are kept for the incomplete event, part of them twice. */
    int keptBytes() {
        return pending.size() + line.size();
    }

    /** Returns the number of bytes received after the last complete event. */
    int incompleteBytes() {
        return pending.size();
    }

    /** Returns the bytes received after the last complete event. */
    byte[] incompleteEvent() {
        return pending.toByteArray();
    }
}
