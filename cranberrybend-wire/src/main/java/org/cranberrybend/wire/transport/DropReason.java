package org.cranberrybend.wire.transport;

import java.util.Locale;

/** Reason for which a frame was not sent or not handled; a label of the metric for dropped frames. */
enum DropReason {
    /** The outbound buffer of the connection is full. */
    BUFFER_FULL,
    /** The peer cannot be reached. */
    NO_CONNECTION,
    /** No pending request on this connection has the correlation identifier of the reply. */
    UNKNOWN_CORRELATION,
    /** All worker threads of the lane are busy and their queue is full. */
    WORKERS_BUSY,
    /** No handler is registered for the message type. */
    NO_HANDLER,
    /** The frame exceeds the maximum size or cannot be parsed. */
    INVALID;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
