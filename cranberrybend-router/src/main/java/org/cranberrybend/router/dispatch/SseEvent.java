package org.cranberrybend.router.dispatch;

/**
 * One server-sent event.
 *
 * @param raw bytes as received, including the empty line that ends the event
 * @param data value of its data fields, joined by line feeds; empty if it has none
 */
record SseEvent(byte[] raw, String data) {
    static final String DONE = "[DONE]";

    boolean isDone() {
        return data.equals(DONE);
    }
}
