package org.cranberrybend.standins.platform;

import java.util.List;

/**
 * Settings of the stand-in platform.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 takes a free port
 * @param kvReadsPerSecond rate limit of reads of the key-value store; 0 for unlimited; 2,000 if absent
 * @param kvWritesPerSecond rate limit of writes, including lease calls; 0 for unlimited; 400 if absent
 * @param instancesLagMs time until a change of the instance list is visible, in milliseconds
 * @param startDelayMs time from a start order until the entry is live, in milliseconds, excluding the lag
 * @param stopGraceMs time from a stop order to the removal of the entry, excluding the lag; 30,000 if absent
 * @param instances initial entries of the instance list
 * @param spares upstreams that start orders add to the instance list
 */
public record PlatformSettings(
        String host,
        int port,
        Double kvReadsPerSecond,
        Double kvWritesPerSecond,
        long instancesLagMs,
        long startDelayMs,
        Long stopGraceMs,
        List<InstanceEntry> instances,
        List<InstanceEntry> spares) {
    private static final double DEFAULT_READS_PER_SECOND = 2_000;
    private static final double DEFAULT_WRITES_PER_SECOND = 400;
    private static final long DEFAULT_STOP_GRACE_MS = 30_000;

    public PlatformSettings {
        kvReadsPerSecond = kvReadsPerSecond == null ? DEFAULT_READS_PER_SECOND : kvReadsPerSecond;
        kvWritesPerSecond = kvWritesPerSecond == null ? DEFAULT_WRITES_PER_SECOND : kvWritesPerSecond;
        stopGraceMs = stopGraceMs == null ? DEFAULT_STOP_GRACE_MS : stopGraceMs;
        instances = instances == null ? List.of() : List.copyOf(instances);
        spares = spares == null ? List.of() : List.copyOf(spares);
    }
}
