package org.cranberrybend.router.dispatch;

import java.util.List;
import org.apache.hc.core5.http.Header;

/**
 * A request to an upstream.
 *
 * @param requestId request identifier, which the upstream must return in its response
 * @param method HTTP method
 * @param target path and query
 * @param headers headers to forward, without credentials, hop-by-hop headers and the body length
 * @param body body bytes; null for none
 * @param reuseConnection whether a pooled connection may be used; false for a request that must not be executed twice:
 *     if the upstream had closed the connection, it would be unknown whether the request was received
 * @param echoRequired whether a response without X-Request-Id is rejected
 * @param readTimeoutMs time without a received byte after which the call fails, in milliseconds
 * @param deadlineMs deadline of the call, on the monotonic clock in milliseconds
 */
record UpstreamCall(
        String requestId,
        String method,
        String target,
        List<Header> headers,
        byte[] body,
        boolean reuseConnection,
        boolean requestIdRequired,
        long readTimeoutMs,
        long deadlineMs) {}
