package org.cranberrybend.router;

import java.util.List;

/**
 * Settings of the router, validated against {@code router-settings.schema.json}.
 *
 * @param instance name of the instance
 * @param zone availability zone
 * @param region region
 * @param host address on which all ports listen
 * @param callerPort port for callers
 * @param adminPort admin port
 * @param peerPort port for peer messages
 * @param peers seed members as {@code host:port}
 * @param platformUrl base URL of the platform
 * @param keyHashSecret secret for the keyed hash of API keys
 * @param maxConnections maximum number of open caller connections
 * @param maxBodyBytes maximum size of a request body
 * @param maxHeaderBytes maximum size of request line and headers
 * @param receiveTimeoutMs timeout for receiving a complete request, in milliseconds
 * @param upstreamConnectTimeoutMs timeout for connecting to an upstream, in milliseconds
 * @param upstreamReadTimeoutMs maximum time without a byte from an upstream, in milliseconds
 * @param drainNoticeMs time between failing the readiness check and closing the listener, in milliseconds
 * @param drainLimitMs maximum time for in-flight requests to complete during a drain, in milliseconds
 * @param linkBytesPerSecond bytes per second of this router's requests on the inter-region link
 * @param linkBurstBytes burst size in bytes on the inter-region link
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
    /** Resource name of the JSON schema, relative to this class. */
    public static final String SCHEMA = "router-settings.schema.json";

    public RouterSettings {
        peers = peers == null ? List.of() : List.copyOf(peers);
        maxConnections = maxConnections == null ? 2_000 : maxConnections;
        maxBodyBytes = maxBodyBytes == null ? 4 << 20 : maxBodyBytes;
        maxHeaderBytes = maxHeaderBytes == null ? 16_384 : maxHeaderBytes;
        receiveTimeoutMs = receiveTimeoutMs == null ? 10_000L : receiveTimeoutMs;
        upstreamConnectTimeoutMs = upstreamConnectTimeoutMs == null ? 1_000L : upstreamConnectTimeoutMs;
        // Exceeds the time to first token of a long prompt on a busy engine.
        upstreamReadTimeoutMs = upstreamReadTimeoutMs == null ? 30_000L : upstreamReadTimeoutMs;
        drainNoticeMs = drainNoticeMs == null ? 3_000L : drainNoticeMs;
        drainLimitMs = drainLimitMs == null ? 300_000L : drainLimitMs;
        // The link carries 2.5 MB/s in total; four routers of a region at this rate use 40% of it.
        linkBytesPerSecond = linkBytesPerSecond == null ? 250_000L : linkBytesPerSecond;
        linkBurstBytes = linkBurstBytes == null ? 1_000_000L : linkBurstBytes;
    }

    /** Returns a text form that omits the secret. */
    @Override
    public String toString() {
        return "RouterSettings[" + instance + ", " + zone + ", " + region + ", " + host + ":" + callerPort + "]";
    }
}
