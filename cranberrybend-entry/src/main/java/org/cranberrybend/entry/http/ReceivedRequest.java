package org.cranberrybend.entry.http;

import org.apache.hc.core5.http.HttpRequest;

/**
 * A request that was read whole.
 *
 * @param head request line and headers
 * @param body body without its framing; never changed after the request was read
 * @param receivedMs monotonic time at which the head was complete, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
public record ReceivedRequest(HttpRequest head, byte[] body, long receivedMs) {}
