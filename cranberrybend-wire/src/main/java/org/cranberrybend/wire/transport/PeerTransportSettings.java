package org.cranberrybend.wire.transport;

/**
 * Settings of the peer transport.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 for an ephemeral port
 * @param keepAliveIntervalMs time without a sent frame after which a keep-alive frame is sent
 * @param receiveTimeoutMs time without a received frame after which a connection is closed, and reopened if in use
 * @param connectTimeoutMs timeout for opening a connection
 * @param reconnectDelayMs time after a failed connect during which frames to the peer are dropped
 * @param maxFrameBytes maximum size of a frame
 * @param maxBufferedBytes maximum total size of the frames that wait to be written to one connection
 * @param linkBytesPerSecond rate limit of this process for large frames to other regions, in bytes per second
 * @param linkBurstBytes burst size of that rate limit
 */
public record PeerTransportSettings(
        String host,
        int port,
        long keepAliveIntervalMs,
        long receiveTimeoutMs,
        int connectTimeoutMs,
        long reconnectDelayMs,
        int maxFrameBytes,
        long maxBufferedBytes,
        long linkBytesPerSecond,
        long linkBurstBytes) {
    public PeerTransportSettings {
        if (keepAliveIntervalMs < 1
                || receiveTimeoutMs <= keepAliveIntervalMs
                || connectTimeoutMs < 1
                || reconnectDelayMs < 0) {
            throw new IllegalArgumentException(
                    "invalid times: keep-alive interval must be at least 1 ms and below the receive timeout: "
                            + keepAliveIntervalMs + ", " + receiveTimeoutMs + ", " + connectTimeoutMs + ", "
                            + reconnectDelayMs);
        }
        if (linkBytesPerSecond < 1 || linkBurstBytes < 1) {
            throw new IllegalArgumentException(
                    "rate and burst of the inter-region link must be positive, or frames would wait forever: "
                            + linkBytesPerSecond + ", " + linkBurstBytes);
        }
        if (maxFrameBytes < 1 || maxBufferedBytes < maxFrameBytes) {
            throw new IllegalArgumentException(
                    "buffer must hold at least one frame of maximum size: " + maxBufferedBytes + " < " + maxFrameBytes);
        }
    }

    /**
     * Returns the settings of a daemon. Ten daemons that each send 64 KiB/s to the other region use a quarter of the
     * 20 Mbit/s of the inter-region link. The maximum frame size is sufficient for a configuration snapshot with the
     * 13,000 client accounts of the design size at about 1 kB each.
     */
    public static PeerTransportSettings of(String host, int port) {
        return new PeerTransportSettings(
                host, port, 3_000, 10_000, 1_000, 250, 16 << 20, 24 << 20, 64 << 10, 256 << 10);
    }
}
