package org.cranberrybend.soak;

/**
 * Time limits that the processes are configured with and that the promises are checked against, as the platform
 * documentation states them for small sites.
 */
final class SoakBounds {
    static final long LEASE_MS = 3_000;
    static final int SHUTDOWN_LIMIT_S = 8;
    static final int USAGE_WINDOW_S = 5;
    /** Time after a disruption in which an instance may still act on outdated state of the key-value store. */
    static final long RECOVERY_GRACE_MS = 4_000;

    /** Time after which an upstream that leaves must not receive requests. */
    static final long DRAIN_MS = 2_500;

    /** Time after the start of an evacuation after which nothing may reach the upstreams of its zone. */
    static final long EVACUATION_MS = 5_000;

    static final long CONFIGURATION_APPLY_MS = 2_500;
    /** Time after the first response under a configuration in which requests may still be routed by an older one. */
    static final long ROLLBACK_SLACK_MS = 250;
    /** Time limit of all routes. */
    static final long ROUTE_TIMEOUT_MS = 4_000;

    private SoakBounds() {}
}
