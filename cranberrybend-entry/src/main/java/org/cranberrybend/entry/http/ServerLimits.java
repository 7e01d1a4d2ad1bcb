package org.cranberrybend.entry.http;

/**
 * The limits of a server on requests and connections.
 *
 * @param maxHeadLineBytes maximum length of one line of a head, in bytes
 * @param maxBodyBytes maximum length of a body, in bytes
 * @param receiveTimeoutMs maximum time to receive a head, and again to receive its body, in milliseconds
 * @param idleTimeoutMs maximum time without a request on an open connection, in milliseconds
 */
public record ServerLimits(int maxHeadLineBytes, int maxBodyBytes, long receiveTimeoutMs, long idleTimeoutMs) {
    public ServerLimits {
        if (maxHeadLineBytes < 1 || maxBodyBytes < 0 || receiveTimeoutMs < 1 || idleTimeoutMs < 1) {
            throw new IllegalArgumentException("limits must be positive: " + maxHeadLineBytes + ", " + maxBodyBytes
                    + ", " + receiveTimeoutMs + ", " + idleTimeoutMs);
        }
    }
}
