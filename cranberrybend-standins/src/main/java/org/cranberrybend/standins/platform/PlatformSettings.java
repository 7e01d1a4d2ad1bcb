package org.cranberrybend.standins.platform;

import java.util.List;

/**
 * Settings of the stand-in platform.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 takes a free port
 * @param kvReadsPerSecond bound on reads of the key-value service; 0 for none, absent for 2,000
 * @param kvWritesPerSecond bound on writes, lease calls included; 0 for none, absent for 400
 * @param instancesLagMs time until a change of the instance list is visible
 * @param startDelayMs time from a start order to the live entry, without the lag
 * @param stopGraceMs time from a stop order to the removal of the entry, without the lag; absent for 30,000
 * @param instances entries listed at the start
 * @param spares upstreams that start orders list
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
