package org.cranberrybend.wire.transport;

/**
 * Settings of the peer transport.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 lets the system choose
 * @param keepAliveMs time without a sent frame after which a keep-alive is sent
 * @param silenceMs time without a received frame after which a connection is closed and reopened
 * @param connectTimeoutMs bound on opening a connection
 * @param reconnectDelayMs time after a failed attempt in which frames to that peer are dropped
 * @param maxFrameBytes bound on one frame
 * @param maxBufferedBytes bound on the frames that wait to be written to one connection
 * @param linkBytesPerSecond large frames that this process may send to other regions, in bytes a second
 * @param linkBurstBytes large frames that may be sent to other regions at once after a quiet time
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
                    "keep-alive must be at least 1 ms and below the silence bound: " + keepAliveIntervalMs + ", "
                            + receiveTimeoutMs + ", " + connectTimeoutMs + ", " + reconnectDelayMs);
        }
        if (linkBytesPerSecond < 1 || linkBurstBytes < 1) {
            throw new IllegalArgumentException(
                    "the budget of the link must be positive, or frames would wait for ever: " + linkBytesPerSecond
                            + ", " + linkBurstBytes);
        }
        if (maxFrameBytes < 1 || maxBufferedBytes < maxFrameBytes) {
            throw new IllegalArgumentException(
                    "the buffer must hold at least one frame: " + maxBufferedBytes + " < " + maxFrameBytes);
        }
    }

    /**
     * Returns the settings of a daemon. Ten daemons that send to the other region at 64 KiB/s use a quarter of the link's
     * 20 Mbit/s. A frame holds a snapshot of the 13,000 client accounts of the design size at
     * about 1 kB each.
     */
    public static PeerTransportSettings of(String host, int port) {
        return new PeerTransportSettings(
                host, port, 3_000, 10_000, 1_000, 250, 16 << 20, 24 << 20, 64 << 10, 256 << 10);
    }
}
