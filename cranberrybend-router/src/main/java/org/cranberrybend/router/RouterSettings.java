package org.cranberrybend.router;

import java.util.List;

/**
 * Settings of the router; checked against {@code router-settings.schema.json}.
 *
 * @param instance name of the instance
 * @param zone availability zone
 * @param region region
 * @param host address of this instance on which all ports listen
 * @param callerPort port for callers
 * @param adminPort administrative port
 * @param peerPort port for peers
 * @param peers seed list, {@code host:port}
 * @param platformUrl base address of the platform
 * @param keyHashSecret secret of the keyed hash of callers' keys
 * @param maxConnections open connections of callers
 * @param maxBodyBytes body of one request
 * @param maxHeaderBytes request line and headers of one request
 * @param receiveTimeoutMs time to receive a whole request, in milliseconds
 * @param upstreamConnectTimeoutMs time to connect to an upstream, in milliseconds
 * @param upstreamReadTimeoutMs time without a byte from an upstream, in milliseconds
 * @param drainNoticeMs time between failing readiness and closing the listener, in milliseconds
 * @param drainLimitMs time for running requests to finish, in milliseconds
 * @param linkBytesPerSecond bytes a second of this router's requests on the link between regions
 * @param linkBurstBytes bytes on the link between regions that may be used at once after a quiet time
 */
public record RouterSettings(
        String instance,
        String zone,
        String region,
        String host,
        int callerPort,
        int adminPort,
        int peerPort,
        List<String> peers,
        String platformUrl,
        String keyHashSecret,
        Integer maxConnections,
        Integer maxBodyBytes,
        Integer maxHeaderBytes,
        Long receiveTimeoutMs,
        Long upstreamConnectTimeoutMs,
        Long upstreamReadTimeoutMs,
        Long drainNoticeMs,
        Long drainLimitMs,
        Long linkBytesPerSecond,
        Long linkBurstBytes) {
    /** Name of the JSON schema beside this class. */
    public static final String SCHEMA = "router-settings.schema.json";

    public RouterSettings {
        peers = peers == null ? List.of() : List.copyOf(peers);
        maxConnections = maxConnections == null ? 2_000 : maxConnections;
        maxBodyBytes = maxBodyBytes == null ? 4 << 20 : maxBodyBytes;
        maxHeaderBytes = maxHeaderBytes == null ? 16_384 : maxHeaderBytes;
        receiveTimeoutMs = receiveTimeoutMs == null ? 10_000L : receiveTimeoutMs;
        upstreamConnectTimeoutMs = upstreamConnectTimeoutMs == null ? 1_000L : upstreamConnectTimeoutMs;
        // Longer than the first token of a long prompt on a busy engine.
        upstreamReadTimeoutMs = upstreamReadTimeoutMs == null ? 30_000L : upstreamReadTimeoutMs;
        drainNoticeMs = drainNoticeMs == null ? 3_000L : drainNoticeMs;
        drainLimitMs = drainLimitMs == null ? 300_000L : drainLimitMs;
        // The link carries 2.5 MB/s for all traffic; four routers of a region at this rate use 40% of it.
        linkBytesPerSecond = linkBytesPerSecond == null ? 250_000L : linkBytesPerSecond;
        linkBurstBytes = linkBurstBytes == null ? 1_000_000L : linkBurstBytes;
    }

    /** Returns the settings without the secret. */
    @Override
    public String toString() {
        return "RouterSettings[" + instance + ", " + zone + ", " + region + ", " + host + ":" + callerPort + "]";
    }
}
