package org.cranberrybend.router.dispatch;

import java.util.List;
import org.apache.hc.core5.http.Header;

/**
 * A request to an upstream.
 *
 * @param requestId identifier that the upstream must repeat
 * @param method HTTP method
 * @param target path and query
 * @param headers headers that are forwarded, without keys and without those that describe the connection or length
 * @param body body bytes; null for none
 * @param reuseConnection whether a pooled connection may be used; never for a request that must not run twice, because
 *     the peer may have closed it already
 * @param echoRequired whether a response without X-Request-Id is rejected
 * @param readTimeoutMs time without a byte after which the call fails, in milliseconds
 * @param deadlineMs when the call fails, on the monotonic clock in milliseconds
 */
record UpstreamCall(
        String requestId,
        String method,
        String target,
        List<Header> headers,
        byte[] body,
        boolean reuseConnection,
        boolean echoRequired,
        long readTimeoutMs,
        long deadlineMs) {}
