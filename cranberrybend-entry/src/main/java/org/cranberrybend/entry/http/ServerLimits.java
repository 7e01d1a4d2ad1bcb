package org.cranberrybend.entry.http;

/**
 * What callers may send to a server.
 *
 * @param maxHeadBytes longest line of a head, in bytes
 * @param maxBodyBytes longest body, in bytes
 * @param headTimeoutMs longest time to receive a request, in milliseconds
 * @param idleTimeoutMs longest time without a request on an open connection, in milliseconds
 */
public record ServerLimits(int maxHeadBytes, int maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {
    public ServerLimits {
        if (maxHeadBytes < 1 || maxBodyBytes < 0 || headTimeoutMs < 1 || idleTimeoutMs < 1) {
            throw new IllegalArgumentException("limits must be positive: " + maxHeadBytes + ", " + maxBodyBytes + ", "
                    + headTimeoutMs + ", " + idleTimeoutMs);
        }
    }
}
