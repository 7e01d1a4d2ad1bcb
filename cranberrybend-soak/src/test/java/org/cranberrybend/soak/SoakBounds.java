package org.cranberrybend.soak;

/** The bounds that the promises are judged by, as the platform's pages state them for small sites. */
final class SoakBounds {
    static final long LEASE_MS = 3_000;
    static final int SHUTDOWN_LIMIT_S = 8;
    static final int USAGE_WINDOW_S = 5;
    /** Time after which a calm instance is bound by what the store has acknowledged. */
    static final long CONTACT_MS = 4_000;

    static final long DRAIN_MS = 2_500;
    static final long CONFIGURATION_APPLY_MS = 2_500;
    /** Time after a response that showed a configuration in which an older one may still show. */
    static final long ROLLBACK_SLACK_MS = 250;
    /** Time limit of all routes. */
    static final long ROUTE_TIMEOUT_MS = 4_000;

    private SoakBounds() {}
}
