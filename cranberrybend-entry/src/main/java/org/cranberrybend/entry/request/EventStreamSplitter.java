package org.cranberrybend.entry.request;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events at the ends of events, so that an event is passed on whole or not at all.
 *
 * <p>An event ends with an empty line; lines end with a line feed, which a carriage return may precede.
 */
final class EventStreamSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private String pendingId = "";
    private String lastId = "";

    /** Takes received bytes and returns those up to the end of the last whole event. */
    byte[] take(ByteBuffer received) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        while (received.hasRemaining()) {
            byte next = received.get();
            pending.write(next);
            if (next == '\n') {
                endLine(whole);
            } else if (next != '\r') {
                line.write(next);
            }
        }
        return whole.toByteArray();
    }

    private void endLine(ByteArrayOutputStream whole) {
        if (line.size() == 0) {
            whole.write(pending.toByteArray(), 0, pending.size());
            pending.reset();
            if (!pendingId.isEmpty()) {
                lastId = pendingId;
                pendingId = "";
            }
            return;
        }
        String text = line.toString(StandardCharsets.UTF_8);
        if (text.startsWith(ID_FIELD)) {
            pendingId = text.substring(ID_FIELD.length()).trim();
        }
        line.reset();
    }

    /** Returns the identifier of the last whole event; empty before the first. */
    String lastId() {
        return lastId;
    }

    /** Returns the bytes after the last whole event. */
    byte[] rest() {
        return pending.toByteArray();
    }
}
