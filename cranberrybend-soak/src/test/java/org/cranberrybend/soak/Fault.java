package org.cranberrybend.soak;

/** External faults with their maximum duration. */
enum Fault {
    INSTANCE_PAUSED(3_500),
    INSTANCE_KILLED(600),
    INSTANCE_STOPPED(SoakBounds.SHUTDOWN_LIMIT_S * 1_000L),
    INSTANCE_SETTINGS_RELOADED(0),
    ALL_INSTANCES_KILLED(600),
    STORE_BUSY(4_000),
    STORE_SLOW(4_000),
    STORE_LOSES_ANSWERS(3_000),
    STORE_WRITES_LATE(3_000),
    STORE_COMPACTED(0),
    STORE_SILENT_FOR_ONE(4_500),
    STORE_ONE_WAY_FOR_ONE(4_500),
    STORE_REFUSES_ONE(4_500),
    STORE_CONNECTIONS_RESET(0),
    DUTIES_SILENT_FOR_ONE(4_000),
    UPSTREAM_UNREACHABLE(3_000),
    UPSTREAM_SILENT(3_000),
    UPSTREAM_DELAYED(2_500),
    UPSTREAM_CONNECTIONS_RESET(0),
    UPSTREAM_FULL(2_000),
    UPSTREAM_LOSES_ANSWERS(2_000),
    UPSTREAM_BREAKS_OFF(2_000),
    UPSTREAM_FAILS(2_000),
    UPSTREAM_LEAVES(0),
    CONFIGURATION_CHANGED(0),
    CONFIGURATION_STORM(0),
    /** Drawn apart from the others, once in a run that is long enough; so is the next one. */
    ZONE_EVACUATED(8_000),
    UPSTREAM_LIMITED(9_000);

    private final long maxDurationMs;

    Fault(long maxDurationMs) {
        this.maxDurationMs = maxDurationMs;
    }

    long maxDurationMs() {
        return maxDurationMs;
    }

    /** Returns whether this is a planned operation, in which no response may be lost. */
    boolean isPlanned() {
        return this == INSTANCE_STOPPED
                || this == INSTANCE_SETTINGS_RELOADED
                || this == CONFIGURATION_CHANGED
                || this == CONFIGURATION_STORM
                || this == ZONE_EVACUATED
                || this == UPSTREAM_LEAVES
                || this == UPSTREAM_LIMITED;
    }
}
