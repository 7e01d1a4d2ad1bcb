package org.cranberrybend.entry.http;

import org.apache.hc.core5.http.HttpRequest;

/**
 * A request that was received completely.
 *
 * @param head request line and headers
 * @param body decoded body; must not be modified
 * @param receivedMs monotonic time at which the head was complete, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
public record ReceivedRequest(HttpRequest head, byte[] body, long receivedMs) {}
