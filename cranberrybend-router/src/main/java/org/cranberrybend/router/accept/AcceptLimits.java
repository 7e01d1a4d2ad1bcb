package org.cranberrybend.router.accept;

/**
 * Bounds on what callers may send.
 *
 * @param maxConnections open connections
 * @param maxHeaderBytes request line and headers of one request
 * @param maxBodyBytes body of one request
 * @param receiveTimeoutMs time to receive a whole request, from its first byte, in milliseconds
 * @param idleTimeoutMs time that a connection may wait for its next request, in milliseconds
 * @param writeTimeoutMs time that a write to a caller that reads nothing may block, in milliseconds
 */
public record AcceptLimits(
        int maxConnections,
        int maxHeaderBytes,
        int maxBodyBytes,
        long receiveTimeoutMs,
        long idleTimeoutMs,
        long writeTimeoutMs) {}
