package org.cranberrybend.router.accept;

/**
 * Limits on caller connections and requests.
 *
 * @param maxConnections maximum number of open connections
 * @param maxHeaderBytes maximum size of request line and headers
 * @param maxBodyBytes maximum size of a request body
 * @param receiveTimeoutMs timeout for receiving a complete request, from its first byte, in milliseconds
 * @param idleTimeoutMs maximum idle time of a connection between requests, in milliseconds
 * @param writeTimeoutMs maximum time that a write may block on a caller that does not read, in milliseconds
 */
public record AcceptLimits(
        int maxConnections,
        int maxHeaderBytes,
        int maxBodyBytes,
        long receiveTimeoutMs,
        long idleTimeoutMs,
        long writeTimeoutMs) {}
