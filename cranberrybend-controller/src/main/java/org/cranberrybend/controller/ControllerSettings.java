package org.cranberrybend.controller;

import java.util.List;

/**
 * Settings of a controller. Absent times have the documented default.
 *
 * @param instance name of the instance
 * @param zone availability zone
 * @param region region
 * @param host address on which all ports listen
 * @param operatorPort port of the operator API
 * @param adminPort admin port
 * @param peerPort port for connections from other processes of the fleet
 * @param peers seed list of peer addresses, {@code host:port}
 * @param platformUrl base URL of the platform
 * @param keyHashSecret secret of the deployment with which API keys are hashed
 * @param operatorTokenDigestHex SHA-256 digest of the operator token in hexadecimal digits
 * @param instanceListPeriodMs time between two reads of the instance list, default 1,000
 * @param leaseTtlMs duration of a lease, default 10,000
 * @param leaseSafetyMarginMs time before its expiry from which a lease is no longer used, default 1,000
 * @param orderTimeoutMs timeout of an upstream order, default 3,000
 * @param orderPeriodMs time between two runs of the order processor, default 2,000
 * @param reportTimeoutMs timeout of a usage report, default 3,000
 * @param usageWritePeriodMs time between two writes of the collected usage, default 5,000
 * @param usageSealDelayMs time from the end of a usage window to its sealing, default 30,000
 * @param scaleDownHoldMs scale-down delay: time for which fewer upstreams must suffice before one is drained, default
 *     300,000
 * @param drainLimitMs time after which a draining upstream is stopped even if it has in-flight requests, default
 *     600,000
 */
public record ControllerSettings(
        String instance,
        String zone,
        String region,
        String host,
        int operatorPort,
        int adminPort,
        int peerPort,
        List<String> peers,
        String platformUrl,
        String keyHashSecret,
        String operatorTokenDigestHex,
        long instanceListPeriodMs,
        long leaseTtlMs,
        long leaseSafetyMarginMs,
        long orderTimeoutMs,
        long orderPeriodMs,
        long reportTimeoutMs,
        long usageWritePeriodMs,
        long usageSealDelayMs,
        long scaleDownHoldMs,
        long drainLimitMs) {
    public ControllerSettings {
        peers = List.copyOf(peers);
        instanceListPeriodMs = orDefault(instanceListPeriodMs, 1_000);
        leaseTtlMs = orDefault(leaseTtlMs, 10_000);
        leaseSafetyMarginMs = orDefault(leaseSafetyMarginMs, 1_000);
        orderTimeoutMs = orDefault(orderTimeoutMs, 3_000);
        orderPeriodMs = orDefault(orderPeriodMs, 2_000);
        reportTimeoutMs = orDefault(reportTimeoutMs, 3_000);
        usageWritePeriodMs = orDefault(usageWritePeriodMs, 5_000);
        usageSealDelayMs = orDefault(usageSealDelayMs, 30_000);
        scaleDownHoldMs = orDefault(scaleDownHoldMs, 300_000);
        drainLimitMs = orDefault(drainLimitMs, 600_000);
        if (leaseSafetyMarginMs * 2 > leaseTtlMs) {
            throw new IllegalArgumentException("lease_safety_margin_ms must be at most half of lease_ttl_ms: "
                    + leaseSafetyMarginMs + ", " + leaseTtlMs);
        }
    }

    private static long orDefault(long value, long defaultValue) {
        return value == 0 ? defaultValue : value;
    }
}
