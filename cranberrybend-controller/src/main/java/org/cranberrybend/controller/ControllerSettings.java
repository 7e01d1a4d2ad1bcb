package org.cranberrybend.controller;

import java.util.List;

/**
 * Settings of a controller. Times that are absent have the stated default.
 *
 * @param instance name of the instance
 * @param zone availability zone
 * @param region region
 * @param host address on which all ports listen
 * @param operatorPort port of the operators' interface
 * @param adminPort administrative port
 * @param peerPort port for other processes of the fleet
 * @param peers seed list of peer addresses, {@code host:port}
 * @param platformUrl address of the platform
 * @param keyHashSecret deployment's secret of the keys' hash
 * @param operatorTokenDigestHex SHA-256 digest of the operators' token
 * @param instanceListPeriodMs time between two reads of the instance list, default 1,000
 * @param leaseTtlMs duration of a lease, default 10,000
 * @param leaseSafetyMarginMs time before the expiry from which a lease is not used, default 1,000
 * @param orderTimeoutMs longest wait for the response to an order, default 3,000
 * @param orderPeriodMs time between two rounds of orders, default 2,000
 * @param reportTimeoutMs longest wait for the response to a usage report, default 3,000
 * @param usageWritePeriodMs time between two writes of the merged counters, default 5,000
 * @param usageSealDelayMs time from the end of a window until it is sealed, default 30,000
 * @param scaleDownHoldMs time for which fewer upstreams must suffice before one is drained, default 300,000
 * @param drainLimitMs time after which a draining upstream is stopped although requests run on it, default 600,000
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
