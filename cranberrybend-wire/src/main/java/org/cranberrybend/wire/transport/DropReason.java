package org.cranberrybend.wire.transport;

import java.util.Locale;

/** Why a frame was not sent or not handled. */
enum DropReason {
    /** The connection's outbound buffer is full. */
    BUFFER_FULL,
    /** The peer cannot be reached. */
    NO_CONNECTION,
    /** No request with this correlation identifier waits on this connection. */
    UNKNOWN_CORRELATION,
    /** All worker threads are busy and their queue is full. */
    WORKERS_BUSY,
    /** No handler is registered for the message type. */
    NO_HANDLER,
    /** The frame is larger than the bound, or cannot be parsed. */
    INVALID;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
